about  = "New connections are slow and dear; then half of the proxies die and come back."
like   = "quiet"
length = "40s"
seed   = 3

trouble "handshake_slow" {
  at    = "5s"
  for   = "22s"
  part  = 0.6
  size  = 8
  extra = "150ms"
}
trouble "proxy_crash" {
  at   = "12s"
  for  = "2s"
  part = 0.5
}
