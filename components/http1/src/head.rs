//! Parses the heads of requests and responses.

use std::ops::{Range, RangeInclusive};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue};

/// Most fields of one head. Callers and upstreams send about a dozen.
const MAX_FIELDS: usize = 64;

/// Valid status codes (RFC 9110, 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// Hop-by-hop fields, which apply to one connection only (RFC 9110, 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Whether a field is always hop-by-hop.
#[must_use]
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

/// The content of the first line of a head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// A request line.
    Request {
        /// The method, such as `GET`.
        method: String,
        /// The request target as received: path and query.
        target: String,
    },
    /// A status line.
    Response {
        /// The status code.
        status: u16,
    },
}

/// Why a head cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The head exceeds this many bytes.
    #[error("the head has more than {0} bytes")]
    TooLarge(usize),
    /// The head has too many fields.
    #[error("the head has more than {MAX_FIELDS} fields")]
    TooManyFields,
    /// The head is not valid HTTP/1.
    #[error("the head cannot be read: {0}")]
    Malformed(httparse::Error),
    /// The status code is outside of 100 to 599 (RFC 9110, 15).
    #[error("the status code {0} is invalid")]
    InvalidStatus(u16),
}

/// A parsed head, whose fields refer to its raw bytes.
#[derive(Debug, Clone)]
pub struct Head {
    /// The content of the first line.
    pub kind: Kind,
    /// Whether the sender speaks HTTP/1.1 rather than 1.0.
    pub is_http11: bool,
    raw: Bytes,
    fields: Vec<(Range<usize>, Range<usize>)>,
}

impl Head {
    /// Removes a request head from the front of `buf`, or returns `None` while it is incomplete.
    ///
    /// # Errors
    /// If the head is too large or malformed. The connection cannot be used afterwards.
    pub fn take_request(buf: &mut BytesMut, max_bytes: usize) -> Result<Option<Self>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut req = httparse::Request::new(&mut fields);
        let status = req.parse(buf).map_err(parse_error)?;
        let httparse::Status::Complete(len) = status else {
            return incomplete(buf, max_bytes);
        };
        let kind = Kind::Request {
            method: req.method.unwrap_or_default().to_owned(),
            target: req.path.unwrap_or_default().to_owned(),
        };
        let is_http11 = req.version == Some(1);
        let ranges = ranges_of(buf, req.headers);
        Self::split(buf, len, max_bytes, kind, is_http11, ranges).map(Some)
    }

    /// Removes a response head from the front of `buf`, or returns `None` while it is incomplete.
    ///
    /// # Errors
    /// If the head is too large or malformed, or has no valid status. The connection cannot be used
    /// afterwards.
    pub fn take_response(buf: &mut BytesMut, max_bytes: usize) -> Result<Option<Self>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut res = httparse::Response::new(&mut fields);
        let status = res.parse(buf).map_err(parse_error)?;
        let httparse::Status::Complete(len) = status else {
            return incomplete(buf, max_bytes);
        };
        let status = res.code.unwrap_or_default();
        if !STATUS_CODES.contains(&status) {
            return Err(HeadError::InvalidStatus(status));
        }
        let kind = Kind::Response { status };
        let is_http11 = res.version == Some(1);
        let ranges = ranges_of(buf, res.headers);
        Self::split(buf, len, max_bytes, kind, is_http11, ranges).map(Some)
    }

    fn split(
        buf: &mut BytesMut,
        len: usize,
        max_bytes: usize,
        kind: Kind,
        is_http11: bool,
        fields: Vec<(Range<usize>, Range<usize>)>,
    ) -> Result<Self, HeadError> {
        if len > max_bytes {
            return Err(HeadError::TooLarge(max_bytes));
        }
        let raw = buf.split_to(len).freeze();
        Ok(Self {
            kind,
            is_http11,
            raw,
            fields,
        })
    }

    /// All fields as received, in order.
    pub fn fields(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|(name, value)| {
            let name = std::str::from_utf8(&self.raw[name.clone()]).unwrap_or_default();
            (name, &self.raw[value.clone()])
        })
    }

    /// Copies the fields to a map, without those whose name or value is invalid.
    #[must_use]
    pub fn to_map(&self) -> HeaderMap {
        let fields = self.fields().filter_map(|(name, value)| {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            Some((name, HeaderValue::from_bytes(value).ok()?))
        });
        fields.collect()
    }

    /// The value of the first field with a name, compared without case.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let mut fields = self.fields();
        let named = fields.find(|(n, _)| n.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value)
    }

    /// The trimmed value of the first field with a name, if it is UTF-8.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        let value = std::str::from_utf8(self.get(name)?).ok()?;
        Some(value.trim())
    }

    /// The values of all fields with a name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = self
            .fields()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value)
    }

    /// Whether a comma-separated field contains a token, compared without case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|word| word.trim().eq_ignore_ascii_case(token))
    }

    /// The status code of a response, or 0 for a request.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self.kind {
            Kind::Response { status } => status,
            Kind::Request { .. } => 0,
        }
    }

    /// Whether a response is interim: the final one follows (RFC 9110, 15.2).
    #[must_use]
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status())
    }

    /// Whether the sender keeps the connection open for another message (keep-alive).
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        if self.has_token("connection", "close") {
            return false;
        }
        self.is_http11 || self.has_token("connection", "keep-alive")
    }

    /// Whether a field is hop-by-hop, either always or because `Connection` lists it.
    #[must_use]
    pub fn is_connection_field(&self, name: &str) -> bool {
        is_hop_by_hop(name) || self.has_token("connection", name)
    }
}

fn incomplete(buf: &BytesMut, max_bytes: usize) -> Result<Option<Head>, HeadError> {
    if buf.len() > max_bytes {
        return Err(HeadError::TooLarge(max_bytes));
    }
    Ok(None)
}

fn parse_error(e: httparse::Error) -> HeadError {
    match e {
        httparse::Error::TooManyHeaders => HeadError::TooManyFields,
        other => HeadError::Malformed(other),
    }
}

/// Positions of the names and values in the buffer that they were parsed from.
fn ranges_of(buf: &[u8], fields: &[httparse::Header<'_>]) -> Vec<(Range<usize>, Range<usize>)> {
    let base = buf.as_ptr() as usize;
    let range = |part: &[u8]| {
        let start = (part.as_ptr() as usize).saturating_sub(base);
        start..start + part.len()
    };
    fields
        .iter()
        .map(|field| (range(field.name.as_bytes()), range(field.value)))
        .collect()
}
