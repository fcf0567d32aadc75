//! Checks the expectations of an experiment file.

use super::checks::FileChecker;
use super::file_format::{ExpectationSection, ExperimentFile, Metric};
use super::{ClassPlan, Expectation};
use passroad_units::{ConfigError, line_number};
use toml::Spanned;

impl FileChecker<'_> {
    /// An expectation with its label in reports.
    pub(super) fn expectation(
        &self,
        expectation: &Spanned<ExpectationSection>,
        file: &ExperimentFile,
        classes: &[ClassPlan],
        zones: &[String],
        policies: &[String],
    ) -> Result<Expectation, ConfigError> {
        let (section, span) = (expectation.get_ref(), expectation.span());
        for name in section.policy.iter().chain(&section.compared_policy) {
            if !policies.contains(name) {
                return self.error(
                    &span,
                    format!("policy: '{name}' is not among this experiment's policies"),
                );
            }
        }
        let position_of = |name: &Option<String>, all: Vec<&String>, key: &str| match name {
            None => Ok(None),
            Some(name) => match all.iter().position(|known| *known == name) {
                Some(n) => Ok(Some(n)),
                None => self.error(&span, format!("{key}: unknown '{name}'")),
            },
        };
        let class = position_of(
            &section.class,
            classes.iter().map(|class| &class.name).collect(),
            "verb",
        )?;
        let zone = position_of(&section.zone, zones.iter().collect(), "zone")?;
        let client_zone = position_of(&section.client_zone, zones.iter().collect(), "asked_in")?;
        if section.at_least.is_none() && section.at_most.is_none() {
            return self.error(
                &span,
                "hold: at_least or at_most is missing; without either it can't fail",
            );
        }
        let needs_peers = matches!(
            section.metric,
            Metric::OwnersAtOnce
                | Metric::Believers
                | Metric::StaleActs
                | Metric::StaleTries
                | Metric::Unowned
                | Metric::Acts
                | Metric::Owners
                | Metric::PeerDatagrams
                | Metric::Doubts
                | Metric::Hits
                | Metric::Worked
                | Metric::AtWork
                | Metric::WorkBroken
                | Metric::WorkTime
        );
        if needs_peers && file.peers.is_none() {
            return self.error(&span, "hold: this metric needs a [peers] section");
        }
        let needs_zone = matches!(
            section.metric,
            Metric::Share | Metric::Returns | Metric::Swing | Metric::Load
        );
        if needs_zone != zone.is_some() {
            return self.error(
                &span,
                "hold: share, returns, swing and load are of a zone, and no other metric is",
            );
        }
        let window = section.from.map_or(file.settle.0, |time| time.0)
            ..section.to.map_or(file.length.0, |time| time.0);
        if window.start >= window.end || window.end > file.length.0 {
            return self.error(
                &span,
                "hold: from must be before to, and to at most the length",
            );
        }
        let line = line_number(self.text, span.start);
        // Reports contain the label.
        let name = format!("{:?}", section.metric).to_lowercase();
        let mut label = section
            .policy
            .clone()
            .filter(|p| p != "passroad")
            .map_or(name.clone(), |p| format!("{name} of {p}"));
        label.extend(section.class.iter().map(|class| format!(" of {class}")));
        label.extend(section.zone.iter().map(|z| format!(" of zone {z}")));
        label.extend(
            section
                .client_zone
                .iter()
                .map(|z| format!(" asked in zone {z}")),
        );
        if section.from.is_some() || section.to.is_some() {
            let (start, end) = (window.start.as_secs_f64(), window.end.as_secs_f64());
            label += &format!(" from {start:.1} to {end:.1} s");
        }
        label.extend(
            section
                .compared_policy
                .iter()
                .map(|p| format!(" less that of {p}")),
        );
        Ok(Expectation {
            metric: section.metric,
            policy: section.policy.clone().unwrap_or_else(|| "passroad".into()),
            compared_policy: section.compared_policy.clone(),
            window,
            class,
            zone,
            client_zone,
            at_least: section.at_least,
            at_most: section.at_most,
            simulated_only: section.simulated_only || section.metric == Metric::Believers,
            line,
            label,
        })
    }
}
