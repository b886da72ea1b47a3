//! Reads settings files, which are JSON with comments.

use std::path::Path;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;
use serde_path_to_error::Segment;

use crate::settings_error::SettingsError;

/// Reads a settings file. `T` should have `#[serde(deny_unknown_fields)]`.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(path, &text)
}

/// Parses the text of a settings file; `path` is used in errors only.
pub fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, SettingsError> {
    let syntax_error = |line, message| SettingsError::Syntax {
        path: path.to_owned(),
        line,
        message,
    };
    let tree =
        jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default())
            .map_err(|e| syntax_error(line_number(text, e.range().start), e.kind().to_string()))?;
    let Some(root) = tree.value else {
        return Err(syntax_error(1, "the file is empty".to_owned()));
    };
    let value: serde_json::Value = root.clone().into();
    serde_path_to_error::deserialize(value).map_err(|e| {
        let offset = deepest_offset(&root, e.path().iter());
        let field = e.path().to_string();
        let message = e.inner().to_string();
        SettingsError::Field {
            path: path.to_owned(),
            line: line_number(text, offset),
            field,
            message,
        }
    })
}

/// Returns the byte offset of the deepest node of `path` that exists in the file.
fn deepest_offset<'a>(root: &ast::Value, path: impl Iterator<Item = &'a Segment>) -> usize {
    let mut node = root;
    let mut offset = root.range().start;
    for segment in path {
        match (segment, node) {
            (Segment::Map { key }, ast::Value::Object(object)) => {
                let Some(property) = object.get(key) else {
                    break;
                };
                offset = property.range.start;
                node = &property.value;
            }
            (Segment::Seq { index }, ast::Value::Array(array)) => {
                let Some(element) = array.elements.get(*index) else {
                    break;
                };
                offset = element.range().start;
                node = element;
            }
            _ => break,
        }
    }
    offset
}

/// Returns the line number, counted from 1, of a byte offset.
fn line_number(text: &str, offset: usize) -> usize {
    text.as_bytes()
        .iter()
        .take(offset)
        .filter(|b| **b == b'\n')
        .count()
        + 1
}
