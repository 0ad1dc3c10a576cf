//! Server-sent events out of a body.

use std::io::{BufRead, BufReader, Read};

use bytes::Bytes;
use types::prelude::*;

use crate::call::doubt_of_io;
use crate::error::Doubt;

const BUFFER_BYTES: usize = 4 << 10;

/// Splits a body into the data of its events.
#[derive(Debug)]
pub(crate) struct Events<R> {
    reader: BufReader<R>,
    line: Vec<u8>,
    max: ByteSize,
}

impl<R: Read> Events<R> {
    pub(crate) fn new(reader: R, max: ByteSize) -> Self {
        Self {
            reader: BufReader::with_capacity(BUFFER_BYTES, reader),
            line: Vec::new(),
            max,
        }
    }

    /// The next event's data; nothing at the body's end.
    pub(crate) fn next(&mut self) -> Result<Option<Bytes>, Doubt> {
        let mut data = Vec::new();
        let mut has_data = false;
        loop {
            if !self.read_line()? {
                // An event without its blank line is cut: it is not handed on.
                return Ok(None);
            }
            if self.line.is_empty() {
                if has_data {
                    return Ok(Some(data.into()));
                }
                continue;
            }
            let Some(text) = self.line.strip_prefix(b"data:") else {
                continue;
            };
            if has_data {
                data.push(b'\n');
            }
            has_data = true;
            data.extend_from_slice(text.strip_prefix(b" ").unwrap_or(text));
            if data.len() as u64 > self.max.0 {
                return Err(Doubt::TooLarge(self.max));
            }
        }
    }

    /// Reads a line without its end; false at the body's end.
    fn read_line(&mut self) -> Result<bool, Doubt> {
        self.line.clear();
        let mut limited = (&mut self.reader).take(self.max.0 + 1);
        let read = limited.read_until(b'\n', &mut self.line);
        read.map_err(|e| doubt_of_io(&e))?;
        if self.line.pop() != Some(b'\n') {
            return match self.line.len() as u64 >= self.max.0 {
                true => Err(Doubt::TooLarge(self.max)),
                false => Ok(false),
            };
        }
        if self.line.last() == Some(&b'\r') {
            self.line.pop();
        }
        Ok(true)
    }
}
