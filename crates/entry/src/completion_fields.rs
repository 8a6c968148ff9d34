//! The fields of a completion request's JSON body that the entry uses.
//!
//! The body itself is forwarded unchanged. The visitors are written by hand to
//! extract the few fields and count the prompt's bytes without allocating the
//! prompt.

use std::fmt;

use bytes::Bytes;
use serde::de::{Deserialize, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// Bytes of text per token, for estimates.
const BYTES_PER_TOKEN: u64 = 4;

/// The fields of a completion request that routing and limits use.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CompletionFields {
    /// Name of the model.
    pub model: Bytes,
    /// Whether a streamed response is requested.
    pub stream: bool,
    /// Maximum number of output tokens.
    pub max_tokens: Option<u64>,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u64,
}

impl CompletionFields {
    /// Parses a body.
    ///
    /// # Errors
    /// Fails when the body is not a JSON object or a used field has the wrong
    /// type.
    pub fn parse(body: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(body)
    }
}

impl<'de> Deserialize<'de> for CompletionFields {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldsVisitor)
    }
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = CompletionFields;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object with `model` and a prompt")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<CompletionFields, A::Error> {
        let mut fields = CompletionFields::default();
        let mut text_bytes = 0;
        while let Some(field) = map.next_key::<FieldName>()? {
            match field {
                FieldName::Model => fields.model = Bytes::from(map.next_value::<String>()?),
                FieldName::Stream => {
                    fields.stream = map.next_value::<Option<bool>>()?.unwrap_or(false);
                }
                FieldName::MaxTokens => {
                    let bound = map.next_value::<Option<u64>>()?;
                    fields.max_tokens = bound.or(fields.max_tokens);
                }
                FieldName::Prompt => text_bytes += map.next_value::<TextBytes>()?.0,
                FieldName::Other => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        if fields.model.is_empty() {
            return Err(A::Error::missing_field("model"));
        }
        fields.prompt_tokens = text_bytes.div_ceil(BYTES_PER_TOKEN);
        Ok(fields)
    }
}

/// Names of the used fields.
#[derive(Clone, Copy)]
enum FieldName {
    Model,
    Stream,
    MaxTokens,
    Prompt,
    Other,
}

const FIELD_NAMES: [(&str, FieldName); 6] = [
    ("model", FieldName::Model),
    ("stream", FieldName::Stream),
    ("max_tokens", FieldName::MaxTokens),
    ("max_completion_tokens", FieldName::MaxTokens),
    ("messages", FieldName::Prompt),
    ("prompt", FieldName::Prompt),
];

impl<'de> Deserialize<'de> for FieldName {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct NameVisitor;

        impl Visitor<'_> for NameVisitor {
            type Value = FieldName;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a field name")
            }

            fn visit_str<E: Error>(self, name: &str) -> Result<FieldName, E> {
                let known = FIELD_NAMES.iter().find(|(text, _)| *text == name);
                Ok(known.map_or(FieldName::Other, |(_, field)| *field))
            }
        }

        deserializer.deserialize_identifier(NameVisitor)
    }
}

/// Total bytes of all strings inside a JSON value.
struct TextBytes(u64);

impl<'de> Deserialize<'de> for TextBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(TextVisitor)
    }
}

struct TextVisitor;

impl<'de> Visitor<'de> for TextVisitor {
    type Value = TextBytes;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a prompt")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<TextBytes, E> {
        Ok(TextBytes(text.len() as u64))
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<TextBytes, E> {
        Ok(TextBytes(0))
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<TextBytes, E> {
        Ok(TextBytes(0))
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<TextBytes, E> {
        // A number in a prompt is a token id, so it counts as one token.
        Ok(TextBytes(BYTES_PER_TOKEN))
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<TextBytes, E> {
        Ok(TextBytes(0))
    }

    fn visit_unit<E: Error>(self) -> Result<TextBytes, E> {
        Ok(TextBytes(0))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<TextBytes, A::Error> {
        let mut sum = 0;
        while let Some(item) = seq.next_element::<TextBytes>()? {
            sum += item.0;
        }
        Ok(TextBytes(sum))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<TextBytes, A::Error> {
        let mut sum = 0;
        while let Some((_, item)) = map.next_entry::<IgnoredAny, TextBytes>()? {
            sum += item.0;
        }
        Ok(TextBytes(sum))
    }
}
