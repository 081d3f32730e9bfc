"""Fair shares among tenants: whose waiting item or request goes first."""
