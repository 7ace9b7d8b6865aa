//! Diagnostics of a configuration file: all errors and warnings, each with its position and a remedy.

use super::source_spans::{dotted_path, SourceSpans};
use miette::{GraphicalReportHandler, GraphicalTheme, LabeledSpan, NamedSource, Severity, SourceCode};
use std::fmt;
use std::ops::Range;

/// Width at which a rendered report is wrapped.
const MAX_REPORT_COLUMNS: usize = 100;

/// One error or warning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// JSON pointer of the value.
    pub pointer: String,
    /// What is wrong with the value.
    pub problem: String,
    /// How to correct the value.
    pub remedy: Option<String>,
    /// Byte range in the text. `None`: the range of the value at `pointer`.
    pub range: Option<Range<usize>>,
    /// A warning does not make the file invalid; an error does.
    pub is_warning: bool,
}

impl Diagnostic {
    /// An error in the value at a JSON pointer.
    pub fn error(pointer: impl Into<String>, problem: impl Into<String>) -> Self {
        Diagnostic {
            pointer: pointer.into(),
            problem: problem.into(),
            remedy: None,
            range: None,
            is_warning: false,
        }
    }

    /// A syntax error: the text is not valid JSON or TOML.
    pub fn syntax_error(problem: impl Into<String>, range: Range<usize>) -> Self {
        let remedy = Some("fix the syntax first; other checks need a file that can be parsed".to_owned());
        Diagnostic { range: Some(range), remedy, ..Diagnostic::error("", problem) }
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = dotted_path(&self.pointer);
        let colon = if key.is_empty() { "" } else { ": " };
        write!(f, "{key}{colon}{}", self.problem)
    }
}

/// A diagnostic with its byte range in the text.
#[derive(Clone, Debug)]
struct LocatedDiagnostic {
    diagnostic: Diagnostic,
    range: Range<usize>,
}

/// Number of diagnostics of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiagnosticCounts {
    /// Diagnostics that make the file invalid.
    pub errors: usize,
    /// Keys without effect.
    pub warnings: usize,
}

/// Line and column in a text; both start at 1.
struct LineColumn {
    line: usize,
    column: usize,
}

/// All diagnostics of one file.
#[derive(Clone, Debug, Default)]
pub struct Diagnostics {
    /// Name of the file.
    pub file: String,
    text: String,
    located: Vec<LocatedDiagnostic>,
}

impl Diagnostics {
    /// The diagnostics of a text, ordered by position and without duplicates.
    pub fn new(file: &str, text: &str, diagnostics: Vec<Diagnostic>, spans: &SourceSpans) -> Self {
        let locate = |diagnostic: Diagnostic| {
            let range = diagnostic.range.clone().unwrap_or_else(|| spans.find(&diagnostic.pointer));
            LocatedDiagnostic { diagnostic, range }
        };
        let mut located: Vec<_> = diagnostics.into_iter().map(locate).collect();
        located.sort_by_key(|found| (found.range.start, found.diagnostic.pointer.clone()));
        located.dedup_by(|a, b| a.diagnostic == b.diagnostic);
        Diagnostics { file: file.to_owned(), text: text.to_owned(), located }
    }

    /// A single error without a position in the text, such as an unreadable file.
    pub fn without_position(file: &str, problem: impl Into<String>) -> Self {
        let diagnostic = Diagnostic { range: Some(0..0), ..Diagnostic::error("", problem) };
        let located = vec![LocatedDiagnostic { diagnostic, range: 0..0 }];
        Diagnostics { file: file.to_owned(), text: String::new(), located }
    }

    /// Number of errors and of warnings.
    pub fn count(&self) -> DiagnosticCounts {
        let warnings = self.located.iter().filter(|found| found.diagnostic.is_warning).count();
        DiagnosticCounts { errors: self.located.len() - warnings, warnings }
    }

    /// The keys that have no effect.
    pub fn keys_without_effect(&self) -> impl Iterator<Item = String> + '_ {
        let warnings = self.located.iter().filter(|found| found.diagnostic.is_warning);
        warnings.map(|found| dotted_path(&found.diagnostic.pointer))
    }

    fn line_column(&self, byte: usize) -> LineColumn {
        let before = &self.text.as_bytes()[..byte.min(self.text.len())];
        let line_start = before.iter().rposition(|&b| b == b'\n').map_or(0, |end| end + 1);
        LineColumn {
            line: before.iter().filter(|&&b| b == b'\n').count() + 1,
            column: String::from_utf8_lossy(&before[line_start..]).chars().count() + 1,
        }
    }

    /// One line: `FILE:LINE:COLUMN: KEY: PROBLEM; REMEDY`.
    fn line(&self, found: &LocatedDiagnostic) -> String {
        let position = if self.text.is_empty() {
            String::new()
        } else {
            let LineColumn { line, column } = self.line_column(found.range.start);
            format!(":{line}:{column}")
        };
        let diagnostic = &found.diagnostic;
        let remedy = diagnostic.remedy.as_deref().map(|r| format!("; {r}")).unwrap_or_default();
        format!("{}{position}: {diagnostic}{remedy}", self.file)
    }

    /// Renders each diagnostic for a terminal, with the lines of the file that it refers to.
    pub fn render(&self, colours: bool) -> String {
        let theme = if colours { GraphicalTheme::unicode() } else { GraphicalTheme::unicode_nocolor() };
        let handler = GraphicalReportHandler::new_themed(theme);
        let handler = handler.with_width(MAX_REPORT_COLUMNS).with_links(false);
        let mut text = String::new();
        for found in &self.located {
            let source = NamedSource::new(&self.file, self.text.clone());
            let report = RenderedDiagnostic {
                diagnostic: &found.diagnostic,
                source: (!self.text.is_empty()).then_some(source),
                range: found.range.clone(),
                file: &self.file,
            };
            // Writing to a string does not fail.
            let _ = handler.render_report(&mut text, &report);
        }
        text
    }
}

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let errors = self.located.iter().filter(|found| !found.diagnostic.is_warning);
        for (number, found) in errors.enumerate() {
            let separator = if number > 0 { " | " } else { "" };
            write!(f, "{separator}{}", self.line(found))?;
        }
        Ok(())
    }
}

impl std::error::Error for Diagnostics {}

/// A diagnostic as the `miette` renderer needs it.
#[derive(Debug)]
struct RenderedDiagnostic<'a> {
    diagnostic: &'a Diagnostic,
    source: Option<NamedSource<String>>,
    range: Range<usize>,
    file: &'a str,
}

impl fmt::Display for RenderedDiagnostic<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.source {
            Some(_) => self.diagnostic.fmt(f),
            None => write!(f, "{}: {}", self.file, self.diagnostic),
        }
    }
}

impl std::error::Error for RenderedDiagnostic<'_> {}

impl miette::Diagnostic for RenderedDiagnostic<'_> {
    fn severity(&self) -> Option<Severity> {
        self.diagnostic.is_warning.then_some(Severity::Warning)
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        self.diagnostic.remedy.as_ref().map(|remedy| Box::new(remedy) as Box<dyn fmt::Display>)
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        self.source.as_ref().map(|source| source as &dyn SourceCode)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        // Only the first line is underlined: a table can span many lines.
        let text = self.source.as_ref()?.inner();
        let line_end = text[self.range.start..self.range.end].find('\n');
        let length = line_end.unwrap_or(self.range.end - self.range.start);
        Some(Box::new(std::iter::once(LabeledSpan::new(None, self.range.start, length))))
    }
}
