about  = "The operators' proof: all over gRPC with keys, an endpoint stalls, one answers twice, a proxy goes silent in mid-report."
like   = "quiet"
length = "14s"
seed   = 9

fleet {
  grpc = ["*"]
  keys = true
}
list {
  late = "300ms"
}

trouble "hang" {
  at  = "2s"
  for = "5s"
  who = ["b-std-0"]
}
trouble "answers_twice" {
  at  = "2s"
  for = "10s"
  who = ["a-std-1", "c-std-1"]
}
trouble "report_burst" {
  at   = "3s"
  for  = "4s"
  size = 20
  who  = ["proxy-a-0"]
}
trouble "silent" {
  at  = "4s"
  for = "3s"
  who = ["proxy-a-0"]
}
trouble "drain" {
  at  = "4500ms"
  for = "4s"
  who = ["a-std-2"]
}
trouble "pilot_kill" {
  at  = "8s"
  for = "2s"
  who = ["pilot-0"]
}
