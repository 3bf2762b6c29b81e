//! Reads JSON with comments and says where each fault is.
//!
//! A [`Document`] keeps the text next to its syntax tree, so that a check made on decoded values can
//! still name the line that a field stands on.

use displaydoc::Display as DisplayDoc;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;
use std::path::Path;

/// A fault in a document: where it is, what is wrong and what to write instead.
#[derive(Debug, Clone, PartialEq, Eq, DisplayDoc)]
#[displaydoc("{file}:{line}: {field}: {message}; {help}")]
pub struct Fault {
    /// The file as it was named by the user.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// Path of the field, such as `services[0].targets[2].address`.
    pub field: String,
    /// What is wrong.
    pub message: String,
    /// What to write instead.
    pub help: String,
}

impl std::error::Error for Fault {}

/// A text in JSON with comments.
pub struct Document {
    file: String,
    text: String,
}

impl Document {
    /// A document from text that is already at hand; `file` is its name in faults.
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
    /// A fault at line 1 when the file cannot be read.
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

    /// Decodes the document.
    ///
    /// # Errors
    ///
    /// The first fault in syntax, in a field's name or in a field's type.
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

    /// A fault at the field with this path.
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

    /// The line of a field, or of the closest ancestor that exists.
    fn line_of(&self, field: &str) -> usize {
        let parsed =
            jsonc_parser::parse_to_ast(&self.text, &Default::default(), &Default::default());
        let Some(root) = parsed.ok().and_then(|parsed| parsed.value) else {
            return 1;
        };
        let mut offset = root.start();
        let mut node = &root;
        for step in steps_of(field) {
            let Some((next_offset, next)) = descend(node, step) else {
                break;
            };
            offset = next_offset;
            node = next;
        }
        1 + self.text[..offset].matches('\n').count()
    }
}

/// Splits `services[0].name` into `services`, `0` and `name`.
fn steps_of(field: &str) -> impl Iterator<Item = &str> {
    field.split(['.', '[', ']']).filter(|step| !step.is_empty())
}

fn descend<'tree, 'text>(
    node: &'tree ast::Value<'text>,
    step: &str,
) -> Option<(usize, &'tree ast::Value<'text>)> {
    match node {
        ast::Value::Object(object) => {
            let property = object
                .properties
                .iter()
                .find(|property| property.name.as_str() == step)?;
            Some((property.start(), &property.value))
        }
        ast::Value::Array(array) => {
            let element = array.elements.get(step.parse::<usize>().ok()?)?;
            Some((element.start(), element))
        }
        _ => None,
    }
}
