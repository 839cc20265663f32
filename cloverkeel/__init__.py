"""cloverkeel: a real gateway on sockets round the decision module caperdrift."""
