//! Heads of requests and responses.

use std::ops::Range;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue};

/// Fields that one head may have; callers and upstreams send about a dozen.
const MAX_FIELDS: usize = 64;

/// Names of fields that concern one connection only (RFC 9110, 7.6.1).
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

/// Whether a field concerns one connection only.
#[must_use]
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

/// What the first line says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// A request's method and target.
    Request {
        /// Such as `GET`.
        method: String,
        /// As it was sent: path and query.
        target: String,
    },
    /// A response's status.
    Response {
        /// Three digits.
        status: u16,
    },
}

/// Why bytes are no head.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// More bytes than allowed without an end.
    #[error("the head has more than {0} bytes")]
    TooLarge(usize),
    /// More fields than allowed.
    #[error("the head has more than {MAX_FIELDS} fields")]
    TooManyFields,
    /// Not of the protocol's form.
    #[error("the head cannot be read: {0}")]
    Malformed(httparse::Error),
}

/// A head, as fields over its raw bytes.
#[derive(Debug, Clone)]
pub struct Head {
    /// What the first line says.
    pub kind: Kind,
    /// Whether the sender speaks HTTP/1.1 rather than 1.0.
    pub is_http11: bool,
    raw: Bytes,
    fields: Vec<(Range<usize>, Range<usize>)>,
}

impl Head {
    /// Takes a request's head from the front of `buf`, or nothing while it is incomplete.
    ///
    /// # Errors
    /// When it is too large or malformed; the connection is then of no further use.
    pub fn take_request(buf: &mut BytesMut, max_bytes: usize) -> Result<Option<Self>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut req = httparse::Request::new(&mut fields);
        let status = req.parse(buf).map_err(read_error)?;
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

    /// Takes a response's head from the front of `buf`, or nothing while it is incomplete.
    ///
    /// # Errors
    /// When it is too large or malformed; the connection is then of no further use.
    pub fn take_response(buf: &mut BytesMut, max_bytes: usize) -> Result<Option<Self>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut res = httparse::Response::new(&mut fields);
        let status = res.parse(buf).map_err(read_error)?;
        let httparse::Status::Complete(len) = status else {
            return incomplete(buf, max_bytes);
        };
        let kind = Kind::Response {
            status: res.code.unwrap_or_default(),
        };
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

    /// All fields in order, as they were sent.
    pub fn fields(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|(name, value)| {
            let name = std::str::from_utf8(&self.raw[name.clone()]).unwrap_or_default();
            (name, &self.raw[value.clone()])
        })
    }

    /// The fields as a map; one that is no proper field is left out.
    #[must_use]
    pub fn to_map(&self) -> HeaderMap {
        let fields = self.fields().filter_map(|(name, value)| {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            Some((name, HeaderValue::from_bytes(value).ok()?))
        });
        fields.collect()
    }

    /// The first field of a name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let mut fields = self.fields();
        let named = fields.find(|(n, _)| n.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value)
    }

    /// The first field of a name, as text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        let value = std::str::from_utf8(self.get(name)?).ok()?;
        Some(value.trim())
    }

    /// Every field of a name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = self
            .fields()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value)
    }

    /// Whether a comma-separated field holds a word.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|word| word.trim().eq_ignore_ascii_case(token))
    }

    /// The status of a response; 0 for a request.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self.kind {
            Kind::Response { status } => status,
            Kind::Request { .. } => 0,
        }
    }

    /// Whether the sender lets the connection be used again.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        if self.has_token("connection", "close") {
            return false;
        }
        self.is_http11 || self.has_token("connection", "keep-alive")
    }

    /// Whether a field concerns this connection only, by itself or by `Connection`.
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

fn read_error(e: httparse::Error) -> HeadError {
    match e {
        httparse::Error::TooManyHeaders => HeadError::TooManyFields,
        other => HeadError::Malformed(other),
    }
}

/// Where names and values lie in the buffer that they were parsed from.
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
