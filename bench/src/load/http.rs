//! A keep-alive HTTP/1.1 client connection that reads whole bodies and server-sent events.
//!
//! attohttpc closes each connection after its response, which real callers' clients do not,
//! so the load generator implements the small part of HTTP/1.1 that it needs on a plain socket.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest wait for the next byte of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// An HTTP request.
#[derive(Debug, Clone)]
pub struct HttpRequest<'a> {
    /// HTTP method, such as `POST`.
    pub method: &'a str,
    /// Request path.
    pub path: &'a str,
    /// Headers other than `host` and `content-length`.
    pub headers: &'a [(&'a str, &'a str)],
    /// Complete request body.
    pub body: &'a [u8],
}

/// An HTTP response. The body of an event stream is empty here.
#[derive(Debug, Clone, Default)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// Complete response body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Returns a header's value, or an empty string if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let header_line = self.headers.iter().find(|(n, _)| n == name);
        header_line.map_or("", |(_, value)| value)
    }
}

/// A connection that is opened on first use and kept alive.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Connection {
    /// Creates a connection that is not open yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
        }
    }

    /// Opens the connection if it is not open.
    pub fn connect(&mut self) -> io::Result<()> {
        if self.stream.is_none() {
            self.stream = Some(connect(self.address)?);
        }
        Ok(())
    }

    /// Sends a request and reads the whole response.
    pub fn send(&mut self, request: &HttpRequest<'_>) -> io::Result<HttpResponse> {
        self.send_streaming(request, |_| {})
    }

    /// Sends a request. If the response is an event stream, each event's data is passed to
    /// `on_event` as it arrives.
    pub fn send_streaming(
        &mut self,
        request: &HttpRequest<'_>,
        on_event: impl FnMut(&[u8]),
    ) -> io::Result<HttpResponse> {
        // Taken out, so that a connection left in an unknown state by an error is never reused.
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => connect(self.address)?,
        };
        stream
            .get_mut()
            .write_all(&encode_request(self.address, request))?;
        let mut response = read_head(&mut stream)?;
        if response
            .header("content-type")
            .starts_with("text/event-stream")
        {
            read_events(&mut stream, &response, on_event)?;
        } else {
            response.body = read_body(&mut stream, &response)?;
        }
        if response.header("connection") != "close" {
            self.stream = Some(stream);
        }
        Ok(response)
    }
}

fn connect(address: SocketAddr) -> io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    Ok(BufReader::with_capacity(4 << 10, stream))
}

fn encode_request(address: SocketAddr, request: &HttpRequest<'_>) -> Vec<u8> {
    let (method, path, length) = (request.method, request.path, request.body.len());
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\n");
    text.push_str(&format!("content-length: {length}\r\n"));
    for (name, value) in request.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(request.body);
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

fn invalid_data(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

fn read_head(stream: &mut impl BufRead) -> io::Result<HttpResponse> {
    let status = read_line(stream)?;
    let code = status.split(' ').nth(1).and_then(|code| code.parse().ok());
    let mut response = HttpResponse {
        status: code.ok_or_else(|| invalid_data("response has no status code"))?,
        ..HttpResponse::default()
    };
    loop {
        let line = read_line(stream)?;
        if line.is_empty() {
            return Ok(response);
        }
        let header = line.split_once(':');
        let (name, value) = header.ok_or_else(|| invalid_data("header line has no colon"))?;
        let name = name.to_ascii_lowercase();
        response.headers.push((name, value.trim().to_owned()));
    }
}

fn is_chunked(response: &HttpResponse) -> bool {
    response.header("transfer-encoding") == "chunked"
}

fn read_body(stream: &mut impl BufRead, response: &HttpResponse) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if is_chunked(response) {
        while read_chunk(stream, &mut body)? {}
        return Ok(body);
    }
    let length = response.header("content-length").parse().unwrap_or(0);
    stream.take(length).read_to_end(&mut body)?;
    if (body.len() as u64) < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(body)
}

/// Appends the next chunk to `buf`; returns false at the chunk that ends the body.
fn read_chunk(stream: &mut impl BufRead, buf: &mut Vec<u8>) -> io::Result<bool> {
    let line = read_line(stream)?;
    let size = usize::from_str_radix(line.trim(), 16);
    let size = size.map_err(|_| invalid_data("invalid chunk size"))?;
    let old = buf.len();
    buf.resize(old + size, 0);
    stream.read_exact(&mut buf[old..])?;
    read_line(stream)?;
    Ok(size > 0)
}

fn read_events(
    stream: &mut impl BufRead,
    response: &HttpResponse,
    mut on_event: impl FnMut(&[u8]),
) -> io::Result<()> {
    if !is_chunked(response) {
        return Err(invalid_data("event stream is not chunked"));
    }
    let mut buf = Vec::new();
    loop {
        let has_more = read_chunk(stream, &mut buf)?;
        let mut used = 0;
        while let Some(length) = event_length(&buf[used..]) {
            let event = &buf[used..used + length];
            on_event(event.strip_prefix(b"data: ").unwrap_or(event));
            used += length + 2;
        }
        buf.drain(..used);
        if !has_more {
            return Ok(());
        }
    }
}

fn event_length(buf: &[u8]) -> Option<usize> {
    buf.windows(2).position(|pair| pair == b"\n\n")
}
