//! Parsing of heads, framing, bodies and events.

use bytes::{Bytes, BytesMut};
use http1::events::Splitter;
use http1::{BodyError, BodyReader, Framing, FramingError, Head, HeadError, Progress};

fn request(text: &str) -> Head {
    let mut buf = BytesMut::from(text);
    let head = Head::take_request(&mut buf, 4_096).expect("well-formed");
    head.expect("complete")
}

fn framing(fields: &str) -> Result<Framing, FramingError> {
    Framing::of(&request(&format!(
        "POST /a HTTP/1.1\r\nHost: h\r\n{fields}\r\n"
    )))
}

#[test]
fn a_head_is_parsed_once_it_is_complete() {
    let mut buf = BytesMut::from("GET /a?b HTTP/1.1\r\nHost: x\r\nHos");
    assert!(
        Head::take_request(&mut buf, 4_096)
            .expect("fine so far")
            .is_none()
    );
    buf.extend_from_slice(b"t2: y \r\n\r\nrest");
    let head = Head::take_request(&mut buf, 4_096)
        .expect("fine")
        .expect("complete");
    assert_eq!(head.text("HOST2"), Some("y"));
    assert_eq!(&buf[..], b"rest");
}

#[test]
fn a_head_above_the_size_limit_is_rejected() {
    let mut buf = BytesMut::from(format!("GET / HTTP/1.1\r\nA: {}", "b".repeat(5_000)).as_str());
    let result = Head::take_request(&mut buf, 4_096);
    assert_eq!(result.err(), Some(HeadError::TooLarge(4_096)));
}

#[test]
fn a_space_before_the_colon_is_rejected() {
    let mut buf = BytesMut::from("GET / HTTP/1.1\r\nContent-Length : 5\r\n\r\n");
    assert!(Head::take_request(&mut buf, 4_096).is_err());
}

/// An answer of status 000 reached callers.
#[test]
fn a_status_outside_of_100_to_599_is_rejected() {
    for status in ["000", "001", "099", "600", "999"] {
        let text = format!("HTTP/1.1 {status} OK\r\n\r\n");
        let result = Head::take_response(&mut BytesMut::from(&*text), 4_096);
        let code = status.parse().expect("a number");
        assert_eq!(result.err(), Some(HeadError::InvalidStatus(code)));
    }
    for status in ["100", "599"] {
        let text = format!("HTTP/1.1 {status} OK\r\n\r\n");
        let result = Head::take_response(&mut BytesMut::from(&*text), 4_096);
        assert!(result.is_ok_and(|head| head.is_some()), "{status}");
    }
}

/// A line that one reader drops may mark the end of the body for another.
#[test]
fn a_response_with_a_malformed_field_is_rejected() {
    for field in [
        "Content-Length : 5",
        "Content Length: 5",
        "Content-Length\u{1}: 5",
        "Content-Length\0: 5",
        "Content-Length\t: 5",
        " Content-Length: 5",
        "Content-Length: 5\0",
        "Content-Length",
    ] {
        let text = format!("HTTP/1.1 200 OK\r\nA: b\r\n{field}\r\n\r\n");
        let result = Head::take_response(&mut BytesMut::from(&*text), 4_096);
        assert!(result.is_err(), "{field:?}");
    }
}

#[test]
fn ambiguous_body_lengths_are_rejected() {
    // Guards against request smuggling: a caller sends a length and a transfer coding, or two
    // lengths. If two readers pick different ones, the rest of the body runs as a request.
    let both = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n";
    let other_order = "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n";
    let twice = "Content-Length: 4\r\nContent-Length: 4\r\n";
    for fields in [both, other_order, twice] {
        assert_eq!(framing(fields), Err(FramingError::Ambiguous), "{fields}");
    }
    for fields in [
        "Content-Length: +4\r\n",
        "Content-Length: 4, 4\r\n",
        "Content-Length:\r\n",
    ] {
        assert_eq!(framing(fields), Err(FramingError::BadLength), "{fields}");
    }
    for fields in [
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
    ] {
        assert_eq!(
            framing(fields),
            Err(FramingError::UnknownEncoding),
            "{fields}"
        );
    }
    assert_eq!(
        framing("Transfer-Encoding: Chunked\r\n"),
        Ok(Framing::Chunked)
    );
    assert_eq!(framing("Content-Length: 4\r\n"), Ok(Framing::Length(4)));
    assert_eq!(framing(""), Ok(Framing::Empty));
}

fn read(framing: Framing, text: &str) -> Result<(String, bool, String), BodyError> {
    let mut reader = BodyReader::new(framing);
    let mut body = Vec::new();
    let mut buf = BytesMut::new();
    // Feeds byte by byte, so that each state is entered and left between two reads.
    for byte in text.bytes() {
        buf.extend_from_slice(&[byte]);
        while let Progress::Data(data) = reader.read(&mut buf)? {
            body.extend_from_slice(&data);
        }
    }
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    Ok((text(&body), reader.is_done(), text(&buf)))
}

#[test]
fn bodies_end_where_their_framing_says() {
    let whole = |body: &str, rest: &str| Ok((body.to_owned(), true, rest.to_owned()));
    assert_eq!(read(Framing::Length(3), "abcdef"), whole("abc", "def"));
    let chunked = "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: t\r\n\r\nGET";
    assert_eq!(read(Framing::Chunked, chunked), whole("abcde", "GET"));
    assert_eq!(read(Framing::Empty, "x"), whole("", "x"));
    let open = read(Framing::UntilClose, "abc").expect("fine");
    assert_eq!(open, ("abc".to_owned(), false, String::new()));
}

#[test]
fn malformed_chunks_are_rejected() {
    let cases = [
        "3\nabc",
        "+3\r\nabc",
        "3\r\nabcd\r\n",
        " 3\r\nabc",
        "fffffffffffffffff\r\n",
        "\r\n",
    ];
    for text in cases {
        assert_eq!(
            read(Framing::Chunked, text),
            Err(BodyError::BadChunk),
            "{text:?}"
        );
    }
}

#[test]
fn only_complete_events_are_returned() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 4\ndata: a\n\nid:");
    let event = splitter.next_event().expect("small").expect("whole");
    assert_eq!(event.raw, Bytes::from_static(b"id: 4\ndata: a\n\n"));
    assert_eq!(event.id, Some(4));
    assert_eq!(splitter.next_event(), Ok(None));
    assert!(splitter.has_rest());
    splitter.push(b"5\nweights: 2\ndata: b\n\n");
    let event = splitter.next_event().expect("small").expect("whole");
    assert_eq!(event.id, Some(5));
    assert!(!splitter.has_rest());
}
