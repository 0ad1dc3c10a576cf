//! Batching of log lines.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use telemetry::logs::BatchWriter;

/// Records the bytes of each write.
#[derive(Debug, Clone, Default)]
struct RecordedWrites(Arc<Mutex<Vec<Vec<u8>>>>);

impl Write for RecordedWrites {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no panic").push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn queued_lines_are_written_together() {
    // A busy daemon logs hundreds of lines per second. If each is written by itself, it wakes the
    // writing thread, which costs more than formatting the line.
    let writes = RecordedWrites::default();
    let mut writer = BatchWriter::new(writes.clone(), Duration::ZERO);
    for n in 0..100 {
        writer
            .write_all(format!("line {n}\n").as_bytes())
            .expect("written");
    }
    assert!(writes.0.lock().expect("no panic").is_empty());
    writer.flush().expect("written");
    let written = writes.0.lock().expect("no panic").clone();
    assert_eq!(written.len(), 1);
    assert!(written[0].starts_with(b"line 0\n"));
    assert!(written[0].ends_with(b"line 99\n"));
}

#[test]
fn every_write_ends_at_the_end_of_a_line() {
    // When two daemons write to one pipe, a write larger than `PIPE_BUF` can have the other
    // daemon's lines in its middle.
    let writes = RecordedWrites::default();
    let mut writer = BatchWriter::new(writes.clone(), Duration::ZERO);
    for n in 0..500 {
        let line = format!("line {n} {}\n", "x".repeat(n % 90));
        writer.write_all(line.as_bytes()).expect("written");
    }
    writer.flush().expect("written");
    let written = writes.0.lock().expect("no panic").clone();
    assert!(written.iter().all(|bytes| bytes.len() <= 4_096));
    assert!(written.iter().all(|bytes| bytes.ends_with(b"\n")));
    let all = written.concat();
    let lines = String::from_utf8(all).expect("text");
    assert_eq!(lines.lines().count(), 500);
}

#[test]
fn the_batch_is_bounded() {
    // Without a flush, lines must be written once the batch is full instead of filling the memory.
    let writes = RecordedWrites::default();
    let mut writer = BatchWriter::new(writes.clone(), Duration::ZERO);
    let line = vec![b'x'; 10_000];
    (0..100).for_each(|_| writer.write_all(&line).expect("written"));
    let written = writes.0.lock().expect("no panic").clone();
    assert!(written.iter().all(|bytes| bytes.len() <= 4_096));
    assert!(written.iter().map(Vec::len).sum::<usize>() > 900_000);
}
