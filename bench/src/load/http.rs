//! A caller's keep-alive connection: whole answers and server-sent events.
//!
//! attohttpc closes each connection after its answer, which callers' own clients do not,
//! so the generator speaks the little of HTTP/1.1 that it needs over a plain socket.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest wait for a byte.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// One request.
#[derive(Debug, Clone)]
pub struct Ask<'a> {
    /// Such as `POST`.
    pub method: &'a str,
    /// Its path.
    pub path: &'a str,
    /// Headers besides host and length.
    pub headers: &'a [(&'a str, &'a str)],
    /// Its whole body.
    pub body: &'a [u8],
}

/// An answer; for streams `body` is empty.
#[derive(Debug, Clone, Default)]
pub struct Got {
    /// The HTTP status.
    pub status: u16,
    /// Names in lower case with their values.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Got {
    /// A header's value, empty when absent.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value)
    }
}

/// A connection that is made when needed and kept.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Connection {
    /// Not connected yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
        }
    }

    /// Connects if it is not connected.
    pub fn connect(&mut self) -> io::Result<()> {
        if self.stream.is_none() {
            self.stream = Some(connect(self.address)?);
        }
        Ok(())
    }

    /// Asks and reads the whole answer.
    pub fn ask(&mut self, ask: &Ask<'_>) -> io::Result<Got> {
        self.ask_stream(ask, |_| {})
    }

    /// Asks; each event's data goes to `on_event` as it comes, when the answer is a stream.
    pub fn ask_stream(&mut self, ask: &Ask<'_>, on_event: impl FnMut(&[u8])) -> io::Result<Got> {
        // Taken out, so that a connection in an unknown state is never used again.
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => connect(self.address)?,
        };
        stream.get_mut().write_all(&request(self.address, ask))?;
        let mut got = read_head(&mut stream)?;
        if got.header("content-type").starts_with("text/event-stream") {
            read_events(&mut stream, &got, on_event)?;
        } else {
            got.body = read_body(&mut stream, &got)?;
        }
        if got.header("connection") != "close" {
            self.stream = Some(stream);
        }
        Ok(got)
    }
}

fn connect(address: SocketAddr) -> io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    Ok(BufReader::with_capacity(4 << 10, stream))
}

fn request(address: SocketAddr, ask: &Ask<'_>) -> Vec<u8> {
    let (method, path, length) = (ask.method, ask.path, ask.body.len());
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\n");
    text.push_str(&format!("content-length: {length}\r\n"));
    for (name, value) in ask.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(ask.body);
    bytes
}

fn read_line(stream: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    stream.read_line(&mut line)?;
    if line.pop() != Some('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if line.ends_with('\r') {
        line.pop();
    }
    Ok(line)
}

fn malformed(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

fn read_head(stream: &mut impl BufRead) -> io::Result<Got> {
    let status = read_line(stream)?;
    let code = status.split(' ').nth(1).and_then(|code| code.parse().ok());
    let mut got = Got {
        status: code.ok_or_else(|| malformed("no status"))?,
        ..Got::default()
    };
    loop {
        let line = read_line(stream)?;
        if line.is_empty() {
            return Ok(got);
        }
        let header = line.split_once(':');
        let (name, value) = header.ok_or_else(|| malformed("no header"))?;
        let name = name.to_ascii_lowercase();
        got.headers.push((name, value.trim().to_owned()));
    }
}

fn is_chunked(got: &Got) -> bool {
    got.header("transfer-encoding") == "chunked"
}

fn read_body(stream: &mut impl BufRead, got: &Got) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if is_chunked(got) {
        while read_chunk(stream, &mut body)? {}
        return Ok(body);
    }
    let length = got.header("content-length").parse().unwrap_or(0);
    stream.take(length).read_to_end(&mut body)?;
    if (body.len() as u64) < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(body)
}

/// Appends the next chunk; false at the end marker of the body.
fn read_chunk(stream: &mut impl BufRead, buf: &mut Vec<u8>) -> io::Result<bool> {
    let line = read_line(stream)?;
    let size = usize::from_str_radix(line.trim(), 16);
    let size = size.map_err(|_| malformed("no size of a chunk"))?;
    let old = buf.len();
    buf.resize(old + size, 0);
    stream.read_exact(&mut buf[old..])?;
    read_line(stream)?;
    Ok(size > 0)
}

fn read_events(
    stream: &mut impl BufRead,
    got: &Got,
    mut on_event: impl FnMut(&[u8]),
) -> io::Result<()> {
    if !is_chunked(got) {
        return Err(malformed("a stream that is not chunked"));
    }
    let mut buf = Vec::new();
    loop {
        let goes_on = read_chunk(stream, &mut buf)?;
        let mut used = 0;
        while let Some(length) = event_length(&buf[used..]) {
            let event = &buf[used..used + length];
            on_event(event.strip_prefix(b"data: ").unwrap_or(event));
            used += length + 2;
        }
        buf.drain(..used);
        if !goes_on {
            return Ok(());
        }
    }
}

fn event_length(buf: &[u8]) -> Option<usize> {
    buf.windows(2).position(|pair| pair == b"\n\n")
}
