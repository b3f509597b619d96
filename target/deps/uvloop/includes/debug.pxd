cdef extern from "includes/debug.h":

    cdef int UVLOOP_DEBUG
