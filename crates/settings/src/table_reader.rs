//! Reads the fields of one TOML table and reports unknown or invalid ones.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};
use std::time::Duration;

use bytes::Bytes;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

use crate::FindingList;

/// Findings, shared by the readers of all tables of one text.
pub type SharedFindings = RefCell<FindingList>;

/// Removes known fields from a table; each remaining field is a finding.
#[derive(Debug)]
pub struct TableReader<'a> {
    /// Fields that have not been read yet.
    table: DeTable<'a>,
    span: Range<usize>,
    findings: &'a SharedFindings,
}

impl<'a> TableReader<'a> {
    /// Parses a text. Syntax errors become findings; the tables around them are
    /// read nevertheless.
    pub fn parse(source: &'a str, findings: &'a SharedFindings) -> Self {
        let (table, errors) = DeTable::parse_recoverable(source);
        for error in errors {
            let span = error.span().unwrap_or(0..0);
            findings.borrow_mut().add(&span, error.message());
        }
        let span = table.span();
        TableReader {
            table: table.into_inner(),
            span,
            findings,
        }
    }

    /// Returns the byte range of the table in the text.
    pub fn span(&self) -> Range<usize> {
        self.span.clone()
    }

    /// Adds a finding at the position of the table.
    pub fn report(&self, text: impl Into<String>) {
        self.findings.borrow_mut().add(&self.span, text);
    }

    /// Adds a finding at a span.
    pub fn report_at(&self, span: &Range<usize>, text: impl Into<String>) {
        self.findings.borrow_mut().add(span, text);
    }

    /// Reads an optional table.
    pub fn table(&mut self, name: &str) -> Option<TableReader<'a>> {
        let value = self.remove_field(name)?;
        let span = value.span();
        match value.into_inner() {
            DeValue::Table(table) => Some(TableReader {
                table,
                span,
                findings: self.findings,
            }),
            _ => self.report_mismatch(&span, name, "a table"),
        }
    }

    /// Reads a required table; a missing one is read as empty, so that its
    /// required fields are reported too.
    pub fn required_table(&mut self, name: &str) -> TableReader<'a> {
        self.table(name).unwrap_or_else(|| {
            self.report(format!("table `{name}` is missing"));
            TableReader {
                table: DeTable::new(),
                span: self.span.clone(),
                findings: self.findings,
            }
        })
    }

    /// Reads an array of tables; a missing array is read as empty.
    pub fn tables(&mut self, name: &str) -> Vec<TableReader<'a>> {
        let Some(value) = self.remove_field(name) else {
            return Vec::new();
        };
        let span = value.span();
        let DeValue::Array(array) = value.into_inner() else {
            let _: Option<()> = self.report_mismatch(&span, name, "an array of tables");
            return Vec::new();
        };
        let mut readers = Vec::new();
        for item in array {
            let span = item.span();
            match item.into_inner() {
                DeValue::Table(table) => readers.push(TableReader {
                    table,
                    span,
                    findings: self.findings,
                }),
                _ => {
                    let _: Option<()> = self.report_mismatch(&span, name, "an array of tables");
                }
            }
        }
        readers
    }

    /// Reads an optional string with its byte range.
    pub fn string(&mut self, name: &str) -> Option<(String, Range<usize>)> {
        let value = self.remove_field(name)?;
        let span = value.span();
        match value.into_inner() {
            DeValue::String(text) => Some((text.into_owned(), span)),
            _ => self.report_mismatch(&span, name, "a text"),
        }
    }

    /// Reads a required string; an empty one is a finding, and a missing one is
    /// read as empty.
    pub fn required_string(&mut self, name: &str) -> String {
        match self.string(name) {
            Some((text, span)) if text.is_empty() => {
                self.report_at(&span, format!("`{name}` is empty"));
                text
            }
            Some((text, _)) => text,
            None => self.report_missing(name),
        }
    }

    /// Reads an optional name: 1 to 128 letters, digits, `-`, `_`, `.` or `/`.
    pub fn name(&mut self, name: &str) -> Option<Bytes> {
        let (text, span) = self.string(name)?;
        self.check_name(&text, &span);
        Some(Bytes::from(text))
    }

    /// Reads a required name; returns an empty one if it is missing.
    pub fn required_name(&mut self, name: &str) -> Bytes {
        match self.name(name) {
            Some(name) => name,
            None => self.report_missing(name),
        }
    }

    /// Reads an array of names with their byte ranges; a missing array is read as
    /// empty.
    pub fn names(&mut self, name: &str) -> Vec<(Bytes, Range<usize>)> {
        let strings = self.strings(name);
        for (text, span) in &strings {
            self.check_name(text, span);
        }
        strings
            .into_iter()
            .map(|(text, span)| (Bytes::from(text), span))
            .collect()
    }

    /// Reads an array of strings with their byte ranges; a missing array is read as
    /// empty.
    pub fn strings(&mut self, name: &str) -> Vec<(String, Range<usize>)> {
        let Some(value) = self.remove_field(name) else {
            return Vec::new();
        };
        let span = value.span();
        let DeValue::Array(array) = value.into_inner() else {
            let _: Option<()> = self.report_mismatch(&span, name, "an array of texts");
            return Vec::new();
        };
        let mut strings = Vec::new();
        for item in array {
            let span = item.span();
            match item.into_inner() {
                DeValue::String(text) => strings.push((text.into_owned(), span)),
                _ => {
                    let _: Option<()> = self.report_mismatch(&span, name, "an array of texts");
                }
            }
        }
        strings
    }

    /// Reads an optional integer within a range.
    pub fn number(&mut self, name: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.remove_field(name)?;
        let span = value.span();
        let DeValue::Integer(integer) = value.into_inner() else {
            return self.report_mismatch(&span, name, "a whole number");
        };
        let number = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
        match number.filter(|number| range.contains(number)) {
            Some(number) => Some(number),
            None => {
                let text = format!("`{name}` must be {} to {}", range.start(), range.end());
                self.report_at(&span, text);
                None
            }
        }
    }

    /// Reads an optional integer or float and returns it in thousandths, rounded;
    /// `range` is in thousandths too.
    pub fn thousandths(&mut self, name: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.remove_field(name)?;
        let span = value.span();
        let number: Option<f64> = match value.into_inner() {
            DeValue::Integer(integer) => integer.as_str().parse().ok(),
            DeValue::Float(float) => float.as_str().parse().ok(),
            _ => return self.report_mismatch(&span, name, "a number"),
        };
        // Casting a float to an integer saturates.
        let number = number.map(|number| (number * 1_000.0).round());
        let number = number.filter(|number| number.is_finite() && *number >= 0.0);
        match number.map(|number| number as u64) {
            Some(number) if range.contains(&number) => Some(number),
            _ => {
                let least = *range.start() as f64 / 1_000.0;
                let most = *range.end() as f64 / 1_000.0;
                self.report_at(&span, format!("`{name}` must be {least} to {most}"));
                None
            }
        }
    }

    /// Reads a required integer within a range; returns 0 after a finding.
    pub fn required_number(&mut self, name: &str, range: RangeInclusive<u64>) -> u64 {
        let present = self.table.contains_key(name);
        match self.number(name, range) {
            Some(number) => number,
            None if present => 0,
            None => self.report_missing(name),
        }
    }

    /// Reads a duration in milliseconds, or returns the default.
    pub fn millis(&mut self, name: &str, range: RangeInclusive<u64>, default: u64) -> Duration {
        Duration::from_millis(self.number(name, range).unwrap_or(default))
    }

    /// Reads an optional boolean.
    pub fn boolean(&mut self, name: &str) -> Option<bool> {
        let value = self.remove_field(name)?;
        let span = value.span();
        match value.into_inner() {
            DeValue::Boolean(boolean) => Some(boolean),
            _ => self.report_mismatch(&span, name, "true or false"),
        }
    }

    /// Reads an optional IP address with a port.
    pub fn address(&mut self, name: &str) -> Option<SocketAddr> {
        let (text, span) = self.string(name)?;
        self.parse_address(name, &text, &span)
    }

    /// Reads a required IP address with a port; returns `0.0.0.0:0` after a
    /// finding.
    pub fn required_address(&mut self, name: &str) -> SocketAddr {
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        if !self.table.contains_key(name) {
            let _: String = self.report_missing(name);
            return unset;
        }
        self.address(name).unwrap_or(unset)
    }

    /// Reads an array of IP addresses with ports.
    pub fn addresses(&mut self, name: &str) -> Vec<SocketAddr> {
        self.strings(name)
            .into_iter()
            .filter_map(|(text, span)| self.parse_address(name, &text, &span))
            .collect()
    }

    /// Reports each field that has not been read.
    pub fn report_unknown_fields(self) {
        for key in self.table.keys() {
            let text = format!("unknown field `{}`", key.get_ref());
            self.findings.borrow_mut().add(&key.span(), text);
        }
    }

    fn remove_field(&mut self, name: &str) -> Option<Spanned<DeValue<'a>>> {
        self.table.remove(name)
    }

    fn report_missing<T: Default>(&self, name: &str) -> T {
        self.report(format!("field `{name}` is missing"));
        T::default()
    }

    fn report_mismatch<T>(&self, span: &Range<usize>, name: &str, expected: &str) -> Option<T> {
        self.report_at(span, format!("`{name}` must be {expected}"));
        None
    }

    fn check_name(&self, text: &str, span: &Range<usize>) {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
        if text.is_empty() || text.len() > 128 || !text.chars().all(is_allowed) {
            let text = "a name has 1 to 128 letters, digits, `-`, `_`, `.` or `/`";
            self.report_at(span, text);
        }
    }

    fn parse_address(&self, name: &str, text: &str, span: &Range<usize>) -> Option<SocketAddr> {
        match text.parse() {
            Ok(address) => Some(address),
            Err(_) => self.report_mismatch(span, name, "an IP address and a port"),
        }
    }
}
