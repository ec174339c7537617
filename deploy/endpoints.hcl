# An endpoint list as a file. Replace the file as a whole (write another, then rename it): it is read at each change.

endpoint "127.0.0.1:9001" {
  zone    = "north"
  machine = "small"
  weight  = 2                        # default 1
}

endpoint "127.0.0.1:9002" {
  zone    = "south"
  machine = "large"
  cell    = 1                        # default 0
  phase   = "draining"               # default "ready"; also "gone"
  started = "2026-01-02T03:04:05Z"   # default: the distant past; a new time is a restart
}
