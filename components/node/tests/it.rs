//! The daemon over real sockets, with stand-ins for everything around it.

mod it {
    mod bills;
    mod claims;
    mod fleet;
    mod harness;
    mod limits;
    mod poison;
    mod quality;
    mod rollout;
    mod serve;
    mod sessions;
    mod shutdown;
}
