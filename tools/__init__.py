"""Development tools: the build of the distribution and the measurements."""
