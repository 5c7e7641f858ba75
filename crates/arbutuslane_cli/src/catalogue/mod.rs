//! The `catalogue` commands.

mod apply;
mod read;

use std::path::PathBuf;

use arbutuslane_catalogue::{border, diff};
use serde::Serialize;

use crate::client::HttpClient;
use crate::error::Error;
use crate::exit::Code;
use crate::files::{self, Finding};
use crate::output;
use crate::settings::Settings;

pub(crate) use apply::{Proposal, apply, rollback};
pub(crate) use read::{fetch, history, show};

#[derive(Serialize)]
struct CheckOutput<'findings> {
    valid: bool,
    findings: &'findings [Finding],
}

#[derive(Serialize)]
struct DiffOutput {
    base_revision: u64,
    differences: Vec<DifferenceOutput>,
    capacity_known: bool,
}

#[derive(Serialize)]
struct DifferenceOutput {
    service: String,
    change: &'static str,
    fields: Vec<FieldOutput>,
    effects: Vec<EffectOutput>,
}

#[derive(Serialize)]
struct FieldOutput {
    key: String,
    before: Option<String>,
    after: Option<String>,
}

#[derive(Serialize)]
struct EffectOutput {
    harmful: bool,
    effect: String,
}

/// Shows the problems of the catalogue in `paths`.
pub(crate) fn check(paths: &[PathBuf], json: bool) -> Result<Code, Error> {
    let catalogue = files::read(paths)?;
    show_findings(&catalogue.findings, json);
    if !catalogue.findings.is_empty() {
        return Ok(Code::Invalid);
    }
    if !json {
        output::write_line(&format!("{} services: valid", catalogue.entries.len()));
    }
    Ok(Code::Done)
}

/// Shows the differences between the catalogue in force and the one in `paths`, and their effects
/// on the running capacity.
pub(crate) async fn diff(
    paths: Vec<PathBuf>,
    settings: Settings,
    json: bool,
) -> Result<Code, Error> {
    let catalogue = files::read(&paths)?;
    if !catalogue.findings.is_empty() {
        show_findings(&catalogue.findings, json);
        return Ok(Code::Invalid);
    }
    let http = HttpClient::new(Some(settings.token()?), settings.timeout_ms).await?;
    let current = read::fetch(&http, &settings, None).await?;
    let live = read::live_servers(&http, &settings).await;
    let before: Vec<_> = current.entries.into_iter().map(Into::into).collect();
    let differences = diff::entries(&before, &catalogue.entries);
    let effects = diff::effects(&differences, live.as_deref().unwrap_or_default());
    let diff_output = DiffOutput {
        base_revision: current.revision,
        differences: differences
            .iter()
            .map(|difference| describe_difference(difference, &effects, live.is_some()))
            .collect(),
        capacity_known: live.is_some(),
    };
    if json {
        output::write_json(&diff_output);
    } else {
        output::write_line(&render(&diff_output));
    }
    Ok(Code::Done)
}

fn describe_difference(
    difference: &diff::Difference,
    effects: &[diff::Effect],
    capacity_known: bool,
) -> DifferenceOutput {
    let service_effects = effects.iter().filter(|effect| effect.service == *difference.service());
    DifferenceOutput {
        service: difference.service().clone(),
        change: match difference {
            diff::Difference::Added(_) => "added",
            diff::Difference::Removed(_) => "removed",
            diff::Difference::Changed { .. } => "changed",
        },
        fields: difference
            .fields()
            .into_iter()
            .map(|field| FieldOutput { key: field.key, before: field.before, after: field.after })
            .collect(),
        effects: service_effects
            .filter(|_| capacity_known)
            .map(|effect| EffectOutput {
                harmful: effect.is_harmful,
                effect: effect.sentence.clone(),
            })
            .collect(),
    }
}

fn render(diff_output: &DiffOutput) -> String {
    let mut lines = vec![format!("against revision {}", diff_output.base_revision)];
    for difference in &diff_output.differences {
        lines.push(format!("{} {}", difference.change, difference.service));
        for field in &difference.fields {
            let before = field.before.as_deref().unwrap_or("(none)");
            let after = field.after.as_deref().unwrap_or("(none)");
            lines.push(format!("    {}: {before} -> {after}", field.key));
        }
        for effect in &difference.effects {
            let mark = if effect.harmful { "capacity, harmful" } else { "capacity" };
            lines.push(format!("    {mark}: {}", effect.effect));
        }
    }
    if diff_output.differences.is_empty() {
        lines.push("no differences".to_string());
    }
    if !diff_output.capacity_known {
        lines.push("capacity: not known, because no status was received".to_string());
    }
    lines.push(format!("apply with: --base {}", diff_output.base_revision));
    lines.join("\n")
}

fn show_findings(findings: &[Finding], json: bool) {
    if json {
        output::write_json(&CheckOutput { valid: findings.is_empty(), findings });
        return;
    }
    for finding in findings {
        output::write_line(&format!(
            "{}:{}: {}: {}\n    remedy: {}",
            finding.file.display(),
            finding.line,
            finding.key,
            finding.problem,
            finding.remedy
        ));
    }
}

fn show_control_findings(findings: &[border::Finding], json: bool) {
    let findings: Vec<Finding> = findings
        .iter()
        .map(|finding| Finding {
            file: PathBuf::from("(fleet)"),
            line: 0,
            key: finding.key.clone(),
            problem: finding.problem.clone(),
            remedy: finding.remedy.clone(),
        })
        .collect();
    show_findings(&findings, json);
}
