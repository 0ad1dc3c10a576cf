//! Encodes messages, piece by piece.

use http::HeaderMap;

/// The last chunk and the empty trailer, which end a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Appends a status line. Its reason phrase is a dash, since nobody reads it.
pub fn push_status(out: &mut Vec<u8>, status: u16) {
    out.extend_from_slice(b"HTTP/1.1 ");
    push_number(out, u64::from(status));
    out.extend_from_slice(b" -\r\n");
}

/// Appends one field.
pub fn push_field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends all fields of a map.
pub fn push_map(out: &mut Vec<u8>, fields: &HeaderMap) {
    for (name, value) in fields {
        push_field(out, name.as_str(), value.as_bytes());
    }
}

/// Appends a `Content-Length` field.
pub fn push_length(out: &mut Vec<u8>, length: usize) {
    out.extend_from_slice(b"Content-Length: ");
    push_number(out, length as u64);
    out.extend_from_slice(b"\r\n");
}

/// Appends a decimal number.
pub fn push_number(out: &mut Vec<u8>, number: u64) {
    out.extend_from_slice(itoa::Buffer::new().format(number).as_bytes());
}

fn push_hex(out: &mut Vec<u8>, number: usize) {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digits = (usize::BITS - number.leading_zeros()).div_ceil(4).max(1);
    for digit in (0..digits).rev() {
        out.push(DIGITS[(number >> (4 * digit)) & 0xf]);
    }
}

/// Appends a chunk of a body. Appends nothing if `data` is empty, as an empty chunk would end the
/// body.
pub fn push_chunk(out: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    push_hex(out, data.len());
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}
