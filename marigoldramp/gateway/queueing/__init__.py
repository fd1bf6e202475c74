"""What requests wait for: free slots, in order of priority."""
