//! Parsing the statements of the policy language, a line each.

mod route;
mod statement;
mod values;

pub use values::parse_duration_ms;

pub(crate) use route::parse_route;
pub(crate) use statement::Statement;

use crate::error::{CompileErrorKind, Parsed};
use crate::{Ingress, SetPoints};

/// The least that the set point `fill` has an effect as.
const MIN_TARGET_UTILIZATION: f64 = 0.05;

/// The most that the set point `retries` has an effect as.
const MAX_RETRY_RATIO: f64 = 0.2;

/// `NAME at "/PATH/" tenant SOURCE [model SOURCE]`, after the word `door`.
pub(crate) fn parse_ingress(statement: &mut Statement, known: &[Ingress]) -> Parsed<Ingress> {
    let name = statement.name()?;
    if known.iter().any(|ingress| ingress.name == name) {
        return statement.error(CompileErrorKind::DuplicateIngress(name));
    }
    statement.keyword("at")?;
    let path_prefix = statement.path()?;
    if !path_prefix.ends_with('/') {
        return statement.error(CompileErrorKind::NoSlashAtEnd(path_prefix));
    }
    statement.keyword("tenant")?;
    let tenant_source = statement.source()?;
    let model_source = match statement.is_at_end() {
        true => None,
        false => {
            statement.keyword("model")?;
            Some(statement.source()?)
        }
    };
    Ok(Ingress {
        name,
        path_prefix,
        tenant_source,
        model_source,
    })
}

/// `NAME VALUE`, after the word `set`.
pub(crate) fn parse_set_point(statement: &mut Statement, set_points: &mut SetPoints) -> Parsed<()> {
    match statement.word("a set point")?.as_str() {
        "fill" => {
            set_points.target_utilization = statement.ratio()?.max(MIN_TARGET_UTILIZATION);
        }
        "retries" => set_points.retry_ratio = statement.ratio()?.min(MAX_RETRY_RATIO),
        "fresh" => set_points.fresh_ms = statement.duration_ms()?,
        "expire" => set_points.expire_ms = statement.duration_ms()?,
        _ => return statement.unexpected("fill, retries, fresh or expire"),
    }
    Ok(())
}
