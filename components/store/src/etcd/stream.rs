//! A watch's stream of JSON objects, one per line.

use std::io::{self, BufRead, BufReader, Read};

use attohttpc::Response;
use types::prelude::ByteSize;

use crate::etcd::decode;
use crate::{Sink, Watch, WatchEnd, is_closed};

/// Passes changes to `sink` until the stream ends or the watch is stopped.
pub(crate) fn follow(
    answer: Response,
    watch: &Watch,
    sink: &mut Sink<'_>,
    max_line: ByteSize,
) -> WatchEnd {
    if !answer.is_success() {
        return WatchEnd::Broken(format!("HTTP status {}", answer.status()));
    }
    let (_, _, reader) = answer.split();
    let mut reader = BufReader::new(reader);
    loop {
        if watch.is_stopped() {
            return WatchEnd::Stopped;
        }
        let line = match read_line(&mut reader, max_line) {
            Ok(line) => line,
            Err(e) => return watch_end(&e),
        };
        if let Err(end) = handle_line(&line, sink) {
            return end;
        }
    }
}

fn handle_line(line: &[u8], sink: &mut Sink<'_>) -> Result<(), WatchEnd> {
    let reply = decode::watch_line(line).map_err(WatchEnd::Broken)?;
    if reply.compact_revision.0 > 0 {
        let oldest = keyvalue::ModRevision(reply.compact_revision.0);
        return Err(WatchEnd::Compacted(oldest));
    }
    if reply.canceled {
        return Err(WatchEnd::Broken(format!(
            "canceled: {}",
            reply.cancel_reason
        )));
    }
    let batch = decode::batch(reply).map_err(WatchEnd::Broken)?;
    if sink(batch) {
        Ok(())
    } else {
        Err(WatchEnd::Stopped)
    }
}

/// Reads one line; fails if it is longer than `max`, since an endless line would exhaust memory.
fn read_line(reader: &mut impl BufRead, max: ByteSize) -> io::Result<Vec<u8>> {
    let mut line = Vec::new();
    reader.take(max.0).read_until(b'\n', &mut line)?;
    if line.last() == Some(&b'\n') {
        Ok(line)
    } else if line.len() >= max.as_usize() {
        Err(io::Error::other(format!("a line is longer than {max}")))
    } else {
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}

fn watch_end(error: &io::Error) -> WatchEnd {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => WatchEnd::Idle,
        _ if is_closed(error) => WatchEnd::Closed(error.to_string()),
        _ => WatchEnd::Broken(error.to_string()),
    }
}
