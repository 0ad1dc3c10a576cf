//! Whole bodies, bounded in size and time, and checked against their announced length.

use std::io::Read;
use std::time::Instant;

use attohttpc::ResponseReader;
use attohttpc::header::{CONTENT_LENGTH, HeaderMap};
use bytes::{Bytes, BytesMut};
use types::prelude::*;

use crate::call::doubt_of_io;
use crate::error::Doubt;

const READ_BYTES: usize = 16 << 10;

/// Reads a body to its end.
///
/// Guards against a cut answer taken for whole: attohttpc ends a body of announced length
/// quietly when the connection closes early. The length is checked here.
pub(crate) fn read_whole(
    headers: &HeaderMap,
    mut reader: ResponseReader,
    max: ByteSize,
    ends: Instant,
) -> Result<Bytes, Doubt> {
    let announced = announced_length(headers)?;
    let mut body = BytesMut::new();
    let mut buf = [0; READ_BYTES];
    loop {
        let n = reader.read(&mut buf).map_err(|e| doubt_of_io(&e))?;
        if n == 0 {
            break;
        }
        body.extend_from_slice(&buf[..n]);
        if body.len() as u64 > max.0 {
            return Err(Doubt::TooLarge(max));
        }
        if Instant::now() >= ends {
            return Err(Doubt::TimedOut);
        }
    }
    match announced {
        Some(length) if length != body.len() as u64 => Err(Doubt::Closed),
        _ => Ok(body.freeze()),
    }
}

fn announced_length(headers: &HeaderMap) -> Result<Option<u64>, Doubt> {
    let Some(value) = headers.get(CONTENT_LENGTH) else {
        return Ok(None);
    };
    let length = value.to_str().ok().and_then(|text| text.parse().ok());
    let malformed = || Doubt::Malformed("its content-length is no number".to_owned());
    length.ok_or_else(malformed).map(Some)
}
