"""Bootstrap code of the binary; copied to the top level of its zip."""
