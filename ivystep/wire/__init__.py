"""Messages between ivystep's own processes."""
