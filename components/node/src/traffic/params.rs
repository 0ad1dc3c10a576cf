//! Parameters of a caller's request, parsed from its headers and its body.

use callers::HeaderMap;
use serde_json::{Map, Value};
use types::prelude::*;

use super::refusal::Refusal;

/// Parameters in the headers of any request.
#[derive(Debug, Clone)]
pub struct RequestParams {
    /// The request's idempotency key: as the caller sent it, or a random one.
    pub request: RequestId,
    /// The session header as the caller sent it: a name or a session token.
    pub session: Option<String>,
    /// The offer to use where several offers have the model.
    pub offer: Option<EntryName>,
    /// The priority that the caller asks for; capped by that of the offer.
    pub priority: Option<Priority>,
    /// How long the caller waits for the answer.
    pub deadline: Option<Span>,
    /// Whether the work must run at most once.
    pub non_idempotent: bool,
}

impl RequestParams {
    /// Parses the headers.
    ///
    /// # Errors
    /// A 400 that names the malformed header.
    pub fn from_headers(headers: &HeaderMap) -> Result<Self, Refusal> {
        let id = header_text(headers, "idempotency-key")?.or(header_text(headers, "x-request-id")?);
        let request = match id {
            Some(id) => parse("Idempotency-Key", id)?,
            None => RequestId::random(&mut rand::rng()),
        };
        let offer = header_text(headers, "x-offer")?
            .map(|text| parse("X-Offer", text))
            .transpose()?;
        let priority = header_text(headers, "x-priority")?;
        let priority = priority.map(|text| parse("X-Priority", text)).transpose()?;
        let deadline = header_text(headers, "x-deadline-ms")?;
        let deadline = deadline
            .map(|text| parse::<u64>("X-Deadline-Ms", text))
            .transpose()?;
        let non_idempotent = header_text(headers, "x-non-idempotent")?;
        Ok(Self {
            request,
            session: header_text(headers, "x-session-id")?.map(str::to_owned),
            offer,
            priority,
            deadline: deadline.map(Span::from_millis),
            non_idempotent: non_idempotent
                .map_or(Ok(false), |text| parse("X-Non-Idempotent", text))?,
        })
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let value = headers.get(name).map(|value| value.to_str());
    value
        .transpose()
        .map_err(|_| Refusal::bad_request(format!("{name} is not plain text")))
}

fn parse<T>(name: &str, text: &str) -> Result<T, Refusal>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    text.parse()
        .map_err(|error| Refusal::bad_request(format!("{name}: {error}")))
}

/// The key in the `Authorization: Bearer` header.
#[must_use]
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get("authorization")?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}

/// Parameters in the body of `POST /v1/chat/completions`.
#[derive(Debug, Clone)]
pub struct ChatParams {
    /// The `model` field as sent.
    pub model: String,
    /// Whether to answer as a stream of server-sent events.
    pub stream: bool,
    /// Longest answer in tokens, if the caller bounds it.
    pub max_output: Option<Tokens>,
    /// The whole body; it goes to the engine with the fields that the router sets replaced.
    pub fields: Map<String, Value>,
    /// Estimated length of the prompt in tokens.
    pub input: Tokens,
}

/// Average bytes of text per token, for estimates made before the engine has counted.
const BYTES_PER_TOKEN: u64 = 4;
const MAX_MESSAGES: usize = 4096;

impl ChatParams {
    /// Parses the body.
    ///
    /// # Errors
    /// A 400 that names the field that is missing or of the wrong type.
    pub fn from_body(body: &[u8]) -> Result<Self, Refusal> {
        let parsed: Value = serde_json::from_slice(body)
            .map_err(|error| Refusal::bad_request(format!("the body is not JSON: {error}")))?;
        let Value::Object(fields) = parsed else {
            return Err(Refusal::bad_request("the body must be a JSON object"));
        };
        let model = fields.get("model").and_then(Value::as_str);
        let model = model.ok_or_else(|| Refusal::bad_request("model must be a string"))?;
        let messages = fields.get("messages").and_then(Value::as_array);
        let messages = messages.ok_or_else(|| Refusal::bad_request("messages must be an array"))?;
        if messages.is_empty() || messages.len() > MAX_MESSAGES {
            let message = format!("messages must hold 1 to {MAX_MESSAGES}");
            return Err(Refusal::bad_request(message));
        }
        let text: usize = messages.iter().map(message_bytes).sum();
        let limit = fields
            .get("max_completion_tokens")
            .or_else(|| fields.get("max_tokens"));
        Ok(Self {
            model: model.to_owned(),
            stream: bool_field(&fields, "stream")?,
            max_output: limit.map(positive_tokens).transpose()?,
            input: Tokens((text as u64).div_ceil(BYTES_PER_TOKEN)),
            fields,
        })
    }
}

impl ChatParams {
    /// Whether the caller itself asked for the log probabilities of the tokens.
    #[must_use]
    pub fn wants_logprobs(&self) -> bool {
        self.fields.get("logprobs").and_then(Value::as_bool) == Some(true)
    }
}

fn message_bytes(message: &Value) -> usize {
    match message.get("content") {
        Some(Value::String(text)) => text.len(),
        Some(Value::Array(parts)) => {
            let texts = parts.iter().filter_map(|part| part.get("text")?.as_str());
            texts.map(str::len).sum()
        }
        _ => 0,
    }
}

fn bool_field(fields: &Map<String, Value>, name: &str) -> Result<bool, Refusal> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(Refusal::bad_request(format!(
            "{name} must be true or false"
        ))),
    }
}

fn positive_tokens(value: &Value) -> Result<Tokens, Refusal> {
    let count = value.as_u64().filter(|count| *count > 0);
    count
        .map(Tokens)
        .ok_or_else(|| Refusal::bad_request("max_tokens must be a positive number"))
}
