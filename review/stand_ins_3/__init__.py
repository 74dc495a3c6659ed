"""Stand-ins for the scripts of the third review: machines, endpoints, clients and the operator."""
