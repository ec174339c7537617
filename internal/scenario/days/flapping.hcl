about  = "Endpoints of a zone die and come back cold by turns, each at times of its own."
like   = "quiet"
length = "45s"
seed   = 3

trouble "flapping" {
  at    = "5s"
  for   = "30s"
  zone  = "b"
  count = 2
  every = "8s"
}
