"""What upstreams say of themselves in their answers: that they leave, or that they want a pause."""
