//! The daemon over real sockets, with stand-ins for everything around it.

mod it {
    mod harness;
    mod serve;
    mod shutdown;
}
