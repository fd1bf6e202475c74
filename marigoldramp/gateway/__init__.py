"""A gateway that sends requests to endpoints directly, without agents."""
