//! Messages in bytes, piece by piece.

use http::HeaderMap;

/// The end of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A response's first line. Nobody reads its reason, so it is left short.
pub fn push_status(out: &mut Vec<u8>, status: u16) {
    out.extend_from_slice(b"HTTP/1.1 ");
    push_number(out, u64::from(status));
    out.extend_from_slice(b" -\r\n");
}

/// One field.
pub fn push_field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// All fields of a map.
pub fn push_map(out: &mut Vec<u8>, fields: &HeaderMap) {
    for (name, value) in fields {
        push_field(out, name.as_str(), value.as_bytes());
    }
}

/// The length of the body.
pub fn push_length(out: &mut Vec<u8>, length: usize) {
    out.extend_from_slice(b"Content-Length: ");
    push_number(out, length as u64);
    out.extend_from_slice(b"\r\n");
}

/// A decimal number.
pub fn push_number(out: &mut Vec<u8>, number: u64) {
    out.extend_from_slice(itoa::Buffer::new().format(number).as_bytes());
}

fn push_hex(out: &mut Vec<u8>, number: usize) {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let places = (usize::BITS - number.leading_zeros()).div_ceil(4).max(1);
    for place in (0..places).rev() {
        out.push(DIGITS[(number >> (4 * place)) & 0xf]);
    }
}

/// A chunk of a body; nothing for no bytes, which would end it.
pub fn push_chunk(out: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    push_hex(out, data.len());
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}
