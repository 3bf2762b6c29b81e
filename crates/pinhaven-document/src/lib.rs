//! Parses JSON with comments and reports the line of each fault.
//!
//! A [`Document`] retains its source text, so that a check of decoded values can report the line of a field: the text
//! is parsed again into a syntax tree that has the offset of each field.

use displaydoc::Display as DisplayDoc;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;
use std::path::Path;

/// A fault in a document, with its location, a description and a correction.
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
#[displaydoc("{file}:{line}: {field}: {message}; {help}")]
pub struct Fault {
    /// File name as the user gave it.
    pub file: String,
    /// Line number, counted from 1.
    pub line: usize,
    /// Path of the field, such as `services[0].targets[2].address`.
    pub field: String,
    /// Description of the fault.
    pub message: String,
    /// Correction that the user can make.
    pub help: String,
}

impl std::error::Error for Fault {}

/// A text in the format JSON with comments.
pub struct Document {
    file: String,
    text: String,
}

impl Document {
    /// Creates a document from `text`; faults report `file` as its name.
    pub fn new(file: impl Into<String>, text: impl Into<String>) -> Self {
        Self {
            file: file.into(),
            text: text.into(),
        }
    }

    /// Reads a document from a file.
    ///
    /// # Errors
    ///
    /// Returns a fault at line 1 if the file cannot be read.
    pub fn read(path: &Path) -> Result<Self, Fault> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Ok(Self { file, text }),
            Err(error) => Err(Fault {
                file,
                line: 1,
                field: "file".to_owned(),
                message: error.to_string(),
                help: "name a file that can be read".to_owned(),
            }),
        }
    }

    /// Decodes the document into a value of type `T`.
    ///
    /// # Errors
    ///
    /// Returns the first fault in the syntax, in the name of a field or in the type of a field.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, Fault> {
        let value = self.value()?;
        serde_path_to_error::deserialize(value).map_err(|error| {
            let path = error.path().to_string();
            self.fault(
                &path,
                error.into_inner().to_string(),
                "see docs/INTERFACES.md",
            )
        })
    }

    /// Creates a fault at the field with this path.
    pub fn fault(&self, field: &str, message: impl Into<String>, help: impl Into<String>) -> Fault {
        Fault {
            file: self.file.clone(),
            line: self.line_of(field),
            field: field.to_owned(),
            message: message.into(),
            help: help.into(),
        }
    }

    fn value(&self) -> Result<serde_json::Value, Fault> {
        let parsed = jsonc_parser::parse_to_serde_value::<Option<serde_json::Value>>(
            &self.text,
            &Default::default(),
        );
        match parsed {
            Ok(Some(value)) => Ok(value),
            Ok(None) => Err(self.fault("document", "it is empty", "write a JSON object")),
            Err(error) => Err(Fault {
                file: self.file.clone(),
                line: error.line_display(),
                field: "document".to_owned(),
                message: error.kind().to_string(),
                help: "write JSON; comments and trailing commas are allowed".to_owned(),
            }),
        }
    }

    /// Line number of a field, or of its closest ancestor that exists.
    fn line_of(&self, field: &str) -> usize {
        let parsed =
            jsonc_parser::parse_to_ast(&self.text, &Default::default(), &Default::default());
        let Some(root) = parsed.ok().and_then(|parsed| parsed.value) else {
            return 1;
        };
        let mut offset = root.start();
        let mut node = &root;
        for segment in path_segments(field) {
            let Some((next_offset, next)) = descend(node, segment) else {
                break;
            };
            offset = next_offset;
            node = next;
        }
        1 + self.text[..offset].matches('\n').count()
    }
}

/// Splits a field path: `services[0].name` into `services`, `0` and `name`.
fn path_segments(field: &str) -> impl Iterator<Item = &str> {
    field
        .split(['.', '[', ']'])
        .filter(|segment| !segment.is_empty())
}

/// Start offset and value of the property or array element that `segment` names.
fn descend<'tree, 'text>(
    node: &'tree ast::Value<'text>,
    segment: &str,
) -> Option<(usize, &'tree ast::Value<'text>)> {
    match node {
        ast::Value::Object(object) => {
            let property = object
                .properties
                .iter()
                .find(|property| property.name.as_str() == segment)?;
            Some((property.start(), &property.value))
        }
        ast::Value::Array(array) => {
            let element = array.elements.get(segment.parse::<usize>().ok()?)?;
            Some((element.start(), element))
        }
        _ => None,
    }
}
