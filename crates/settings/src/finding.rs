//! Findings: errors in a source text, each with its position.

use std::fmt;
use std::ops::Range;

/// One error in a source text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Name of the file, or a label for a source that is not a file.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Description of the error, as a short phrase.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}:{}: {}",
            self.file, self.line, self.column, self.text
        )
    }
}

/// All findings of one source text.
#[derive(Debug, Clone)]
pub struct FindingList {
    file: String,
    source: String,
    /// Sorted by position in [`FindingList::finish`].
    findings: Vec<Finding>,
}

impl FindingList {
    /// Creates an empty list for `source`; findings carry the name `file`.
    pub fn new(file: &str, source: &str) -> Self {
        FindingList {
            file: file.to_owned(),
            source: source.to_owned(),
            findings: Vec::new(),
        }
    }

    /// Adds a finding at the start of a byte range of the source.
    pub fn add(&mut self, span: &Range<usize>, text: impl Into<String>) {
        let (line, column) = self.position(span.start);
        self.findings.push(Finding {
            file: self.file.clone(),
            line,
            column,
            text: text.into(),
        });
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    /// Fails with all findings, sorted by position.
    pub fn finish<T>(mut self, value: T) -> Result<T, Vec<Finding>> {
        if self.findings.is_empty() {
            return Ok(value);
        }
        self.findings
            .sort_by_key(|finding| (finding.line, finding.column));
        Err(self.findings)
    }

    fn position(&self, offset: usize) -> (usize, usize) {
        let offset = offset.min(self.source.len());
        let before = self.source.get(..offset).unwrap_or(&self.source);
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |idx| idx + 1);
        (line, before[start..].chars().count() + 1)
    }
}
