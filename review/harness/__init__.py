"""What the review's scripts share: a small deployment, its servers, clients and record."""
