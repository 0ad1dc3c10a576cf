//! Runs daemons over real sockets, with stand-ins for the store, the engines and the platform.

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
    mod stalls;
}
