"""Connections to upstreams through other gateways, for a gateway that is cut off from them."""
