//! Upstreams that send a head which is no valid HTTP.

use bytes::Bytes;
use engine::{AttemptError, Client, OrderError};

use crate::event_loop::block_on;
use crate::raw::*;

/// Status lines whose code is outside of 100 to 599, or not three digits.
const BROKEN_STATUS_LINES: [&str; 8] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 001 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1  200 OK",
];
/// Fields with a blank or a control byte in the name, or a control byte in the value.
const BROKEN_FIELDS: [&str; 7] = [
    "bad name: x",
    " name: x",
    "name : x",
    "na\u{1}me: x",
    "na\0me: x",
    "na\u{7f}me: x",
    "name: a\0b",
];
/// A caller got an answer of status 000.
#[test]
fn errors_on_broken_heads() {
    let lines = BROKEN_STATUS_LINES.into_iter().map(|line| (line, "x-a: b"));
    let fields = BROKEN_FIELDS
        .into_iter()
        .map(|field| ("HTTP/1.1 200 OK", field));
    for (line, field) in lines.chain(fields) {
        let address = answering(whole(line, field, COMPLETION));
        let is_unknown = |error| matches!(error, Some(AttemptError::Unknown(_)));
        assert!(
            is_unknown(plain(address, Bytes::new()).err()),
            "{line} {field}"
        );
        for stream in [false, true] {
            assert!(is_unknown(chat(address, stream).err()), "{line} {field}");
        }
        assert!(is_unknown(load_report(address).err()), "{line} {field}");
        let version = "small@v1".parse().unwrap();
        let order = block_on(Client::default().order_load(address, &version, 1, TIMEOUT));
        assert!(
            matches!(order, Err(OrderError::NoAnswer(_))),
            "{line} {field}"
        );
    }
}
