"""The relay program: carries packets between callers and upstreams."""
