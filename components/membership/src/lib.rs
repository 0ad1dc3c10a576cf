//! Membership of daemons and the facts they share.
