//! Client of the public etcd v3 JSON gateway over HTTP.

mod body;
mod client;
mod decode;
mod encode;
mod stream;
mod wire;

pub use crate::etcd::client::{Config, EtcdClient, EtcdError};
