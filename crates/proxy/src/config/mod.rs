//! The configuration file: read and checked as one value, at the start and at each SIGHUP.

mod diagnostics;
mod document;
mod human_readable;
mod parse;
mod reload_check;
mod schema;
mod source_spans;

use crate::endpoint_list::EndpointList;
pub use diagnostics::{DiagnosticCounts, Diagnostics};
pub use document::{Limits, MembershipConfig};
use oakport_core::settings_wire::ParsedSettings;
use parse::ParsedFile;
use serde_json::Value;
use source_spans::SourceSpans;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Names the configuration file where the command line names none.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// The address of the admin endpoint; overrides that of the file.
const ADMIN_ADDRESS_VARIABLE: &str = "RELAY_OPERATOR";

/// A valid configuration.
#[derive(Debug)]
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the endpoint list is polled.
    pub discovery: SocketAddr,
    /// Where the admin endpoint listens (`operator` in the file); without it nothing is opened.
    pub admin_address: Option<SocketAddr>,
    /// The name of this client proxy, if it has one.
    pub name: Option<String>,
    /// The membership of the other client proxies (`peers` in the file); without it nothing is opened.
    pub membership: Option<MembershipConfig>,
    /// Seed of all random numbers of the decisions.
    pub seed: u64,
    /// What the process may use.
    pub limits: Limits,
    pub(crate) known: Option<EndpointList>,
    /// The settings, for the balancer and for the sockets.
    pub settings: ParsedSettings,
    /// Keys that the file leaves out, in dotted notation, with their default values.
    pub defaulted: Vec<(String, Value)>,
    path: PathBuf,
    /// The file as it was given, to compare the next one with.
    given: Value,
}

/// The result of checking a file.
#[derive(Debug)]
pub struct Checked {
    /// The configuration, unless there is an error.
    pub config: Option<Config>,
    /// All errors and warnings.
    pub diagnostics: Diagnostics,
}

impl Config {
    /// Reads a file, or the one that `$RELAY_CONFIG` names: TOML if its name ends in `.toml`, else JSON.
    /// `$RELAY_OPERATOR`, if set, overrides its `operator`.
    ///
    /// # Errors
    /// All errors of the file, each with its position.
    pub fn read(path: Option<&Path>) -> Result<Self, Diagnostics> {
        let path = path.map(Path::to_owned).or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from));
        let Some(path) = path else {
            let problem = "RELAY_CONFIG is not set; name the file with --config FILE";
            return Err(Diagnostics::without_position("configuration", problem));
        };
        let source = SourceFile::read(&path)?;
        let mut config = source.parse()?;
        // A process's own environment overrides a file that several processes may share.
        if let Ok(address) = std::env::var(ADMIN_ADDRESS_VARIABLE) {
            let parsed = address.parse().map_err(|error| {
                Diagnostics::without_position(ADMIN_ADDRESS_VARIABLE, format!("{address}: {error}"))
            })?;
            config.admin_address = Some(parsed);
        }
        Ok(config)
    }

    /// Reads a file as `read` does, and also reports keys that have no effect.
    pub fn check(path: &Path) -> Checked {
        let read = SourceFile::read(path).and_then(|source| Ok((source.parse()?, source)));
        match read {
            Ok((config, source)) => {
                let diagnostics = source.warnings(&config.given);
                Checked { config: Some(config), diagnostics }
            }
            Err(diagnostics) => Checked { config: None, diagnostics },
        }
    }

    /// The JSON schema of the file.
    pub fn schema() -> Value {
        schema::schema(false).to_value()
    }

    /// Reads the file again. An error leaves this configuration in force.
    ///
    /// # Errors
    /// All errors of the file, or a key of this configuration that the file now lacks.
    pub fn reload(&self) -> Result<Self, Diagnostics> {
        let mut next = Config::read(Some(&self.path))?;
        // Endpoints come from discovery by now.
        next.known = None;
        match reload_check::missing_key(&self.given, &next.given) {
            Some(key) => {
                let problem = format!("{key} is missing, which the file in force has; put it back");
                Err(Diagnostics::without_position(&self.path.display().to_string(), problem))
            }
            None => Ok(next),
        }
    }

    fn new(path: &Path, file: ParsedFile) -> Self {
        Config {
            listen: file.listen,
            discovery: file.discovery,
            admin_address: file.admin_address,
            name: file.name,
            membership: file.membership,
            seed: file.seed,
            limits: file.limits,
            known: file.known,
            settings: file.settings,
            defaulted: file.defaulted,
            path: path.to_owned(),
            given: file.given,
        }
    }
}

/// The text of a configuration file.
struct SourceFile<'a> {
    path: &'a Path,
    name: String,
    text: String,
    /// TOML; else JSON.
    human_readable: bool,
}

impl<'a> SourceFile<'a> {
    fn read(path: &'a Path) -> Result<Self, Diagnostics> {
        let name = path.display().to_string();
        let error = |problem: String| Diagnostics::without_position(&name, problem);
        let bytes = std::fs::read(path).map_err(|e| error(format!("cannot be read: {e}")))?;
        let text = String::from_utf8(bytes).map_err(|e| {
            let byte = e.utf8_error().valid_up_to();
            error(format!("is no text: byte {byte} is not UTF-8"))
        })?;
        let human_readable = path.extension().is_some_and(|extension| extension == "toml");
        Ok(SourceFile { path, name, text, human_readable })
    }

    fn parse(&self) -> Result<Config, Diagnostics> {
        let file = parse::parse(&self.name, &self.text, self.human_readable)?;
        Ok(Config::new(self.path, file))
    }

    /// What has no effect in a valid file. In the human-readable form that would be an error.
    fn warnings(&self, given: &Value) -> Diagnostics {
        let mut found = if self.human_readable { Vec::new() } else { schema::validate(given, false) };
        found.retain(|diagnostic| diagnostic.is_warning);
        Diagnostics::new(&self.name, &self.text, found, &SourceSpans::json(&self.text))
    }
}

#[cfg(test)]
mod tests;
