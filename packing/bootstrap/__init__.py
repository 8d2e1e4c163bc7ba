"""What runs first inside the binary; copied to the top of its zip."""
