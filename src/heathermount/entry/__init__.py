"""Entry side of a node: authentication, quota, claims, load balancing, retries."""
