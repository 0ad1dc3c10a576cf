//! Lines are gathered before they are written.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use telemetry::logs::Gathered;

/// Keeps each write.
#[derive(Debug, Clone, Default)]
struct Writes(Arc<Mutex<Vec<Vec<u8>>>>);

impl Write for Writes {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no panic").push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_that_wait_together_are_one_write() {
    // A busy daemon writes hundreds of lines a second. Each of them was a write, and woke the
    // thread that writes, which cost more than making the line.
    let writes = Writes::default();
    let mut gathered = Gathered::new(writes.clone(), Duration::ZERO);
    for n in 0..100 {
        gathered
            .write_all(format!("line {n}\n").as_bytes())
            .expect("written");
    }
    assert!(writes.0.lock().expect("no panic").is_empty());
    gathered.flush().expect("written");
    let written = writes.0.lock().expect("no panic").clone();
    assert_eq!(written.len(), 1);
    assert!(written[0].starts_with(b"line 0\n"));
    assert!(written[0].ends_with(b"line 99\n"));
}

#[test]
fn no_line_is_torn_by_a_write() {
    // Two daemons write to one pipe. A write of more than the pipe takes in one piece had the
    // other daemon's lines in its middle.
    let writes = Writes::default();
    let mut gathered = Gathered::new(writes.clone(), Duration::ZERO);
    for n in 0..500 {
        let line = format!("line {n} {}\n", "x".repeat(n % 90));
        gathered.write_all(line.as_bytes()).expect("written");
    }
    gathered.flush().expect("written");
    let written = writes.0.lock().expect("no panic").clone();
    assert!(written.iter().all(|bytes| bytes.len() <= 4_096));
    assert!(written.iter().all(|bytes| bytes.ends_with(b"\n")));
    let all = written.concat();
    let lines = String::from_utf8(all).expect("text");
    assert_eq!(lines.lines().count(), 500);
}

#[test]
fn what_is_gathered_is_bounded() {
    let writes = Writes::default();
    let mut gathered = Gathered::new(writes.clone(), Duration::ZERO);
    let line = vec![b'x'; 10_000];
    (0..100).for_each(|_| gathered.write_all(&line).expect("written"));
    let written = writes.0.lock().expect("no panic").clone();
    assert!(written.iter().all(|bytes| bytes.len() <= 4_096));
    assert!(written.iter().map(Vec::len).sum::<usize>() > 900_000);
}
