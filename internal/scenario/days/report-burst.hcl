about  = "Reports flood in: tenfold for 15 s, a hundredfold for 1 s, one proxy as much as all; an endpoint fails meanwhile."
like   = "quiet"
length = "50s"
seed   = 3

intake {
  lines_per_s = 400
  standing    = 200
  heedless    = ["proxy-c-1"]
}

trouble "report_burst" {
  at   = "8s"
  for  = "15s"
  size = 10
}
trouble "fast_errors" {
  at   = "12s"
  for  = "6s"
  who  = ["b-std-2"]
  size = 1
}
trouble "report_burst" {
  at   = "30s"
  for  = "1s"
  size = 100
}
trouble "drain" {
  at  = "30500ms"
  for = "4s"
  who = ["a-std-2"]
}
trouble "report_burst" {
  at   = "36s"
  for  = "8s"
  size = 60
  who  = ["proxy-c-1"]
}
