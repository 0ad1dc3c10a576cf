//! Selects the log lines that explain one request, or all requests of one content.
//!
//! The request's own lines say which upstreams it was sent to and when. Added to them are the
//! earlier lines that show the state of the host which served it: its configuration, its view of
//! the store and of those upstreams, roll-outs, and starts and stops of the daemon.

use std::collections::BTreeSet;
use std::fmt;

use serde_json::{Map, Value, json};

/// Starts of messages about the state of a host. Such lines are selected if they come from a host
/// that logged the request, and not later than the request's last line.
const HOST_MESSAGE_PREFIXES: [&str; 7] = [
    "config:",
    "daemon:",
    "peers: caught up",
    "readiness:",
    "rollouts:",
    "store:",
    "traffic:",
];
/// Fields that every line has; they are not printed as `name=value`.
const COMMON_FIELDS: [&str; 3] = ["timestamp", "level", "message"];

/// A parsed line of a host's log.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct LogLine {
    host: String,
    timestamp: String,
    message: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line: a JSON object, optionally preceded by a time and a host's name, which then
    /// replaces `host`. Returns `None` for lines that no daemon wrote.
    pub(crate) fn parse(host: &str, text: &str) -> Option<Self> {
        let at = text.find('{')?;
        let mut fields = serde_json::from_str::<Map<String, Value>>(&text[at..]).ok()?;
        let named = text[..at].split_whitespace().nth(1);
        let take = |fields: &mut Map<String, Value>, name| {
            let value = fields.remove(name)?;
            value.as_str().map(str::to_owned)
        };
        let timestamp = take(&mut fields, "timestamp")?;
        let message = take(&mut fields, "message")?;
        Some(Self {
            host: named.unwrap_or(host).to_owned(),
            timestamp,
            message,
            fields,
        })
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Whether the line mentions an id, of a request or of a content. The id of a content is in the
    /// lines of all requests with that content and of each upstream that crashed while running it.
    fn mentions(&self, id: &str) -> bool {
        let is_own = ["id", "content"]
            .iter()
            .any(|name| self.text(name) == Some(id));
        let under = self.text("under").unwrap_or_default().split("; ");
        let mut under = under.filter_map(|under| under.split(' ').next());
        is_own || under.any(|content| content == id)
    }

    pub(crate) fn to_json(&self) -> Value {
        let mut value = json!({
            "host": self.host,
            "timestamp": self.timestamp,
            "message": self.message,
        });
        if let Value::Object(all) = &mut value {
            all.extend(self.fields.clone());
        }
        value
    }
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.timestamp, self.host, self.message)?;
        for (name, value) in &self.fields {
            let is_common = COMMON_FIELDS.contains(&name.as_str());
            match value {
                _ if is_common => {}
                Value::String(text) if text.is_empty() => {}
                Value::String(text) => write!(f, " {name}={text}")?,
                value => write!(f, " {name}={value}")?,
            }
        }
        Ok(())
    }
}

/// Ids of the upstreams listed in the `tries` field of a request's line, such as
/// `u1 v1 model 0 (wait 1 work 40): failed at 12ms; u2 v1: answered at 40ms`.
fn upstreams_of(line: &LogLine) -> impl Iterator<Item = &str> {
    let tries = line.text("tries").unwrap_or_default().split("; ");
    tries.filter_map(|tried| tried.split_whitespace().next())
}

/// Selects the lines that explain the requests with this request id or content id, in order of
/// time.
pub(crate) fn timeline(id: &str, lines: Vec<LogLine>) -> Vec<LogLine> {
    let own = lines.iter().filter(|line| line.mentions(id));
    let own = own.cloned().collect::<Vec<_>>();
    let hosts = own.iter().map(|line| line.host.as_str());
    let hosts = hosts.collect::<BTreeSet<_>>();
    let upstreams = own.iter().flat_map(upstreams_of).collect::<BTreeSet<_>>();
    let last = own.iter().map(|line| line.timestamp.as_str()).max();
    let Some(last) = last.map(str::to_owned) else {
        return Vec::new();
    };
    let explains = |line: &LogLine| {
        let is_own = line.mentions(id);
        let is_here = hosts.contains(line.host.as_str()) && line.timestamp <= last;
        let about_host = HOST_MESSAGE_PREFIXES
            .iter()
            .any(|start| line.message.starts_with(start));
        let upstream = line.text("upstream");
        let about_upstream = upstream.is_some_and(|upstream| upstreams.contains(upstream));
        is_own || (is_here && (about_host || about_upstream))
    };
    let mut timeline = lines
        .iter()
        .filter(|line| explains(line))
        .cloned()
        .collect::<Vec<_>>();
    // All timestamps have the same format, so that they sort correctly as text.
    timeline.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    timeline
}
