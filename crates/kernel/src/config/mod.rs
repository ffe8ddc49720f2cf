//! Configuration that operators control: the site, its services, its organisations and their API keys.

mod config_fault;
mod config_file;
mod config_record;
mod config_view;
mod key_secret;
mod key_set;
mod organisation_config;
mod service_config;
mod site_config;

pub use config_fault::ConfigFault;
pub use config_file::{ConfigFile, Result as ConfigResult};
pub use config_record::{ConfigRecord, RecordName};
pub use config_view::{ConfigView, RecordEntry};
pub use key_secret::KeySecret;
pub use key_set::{KeyEntry, KeySet};
pub use organisation_config::OrganisationConfig;
pub use service_config::{ServiceConfig, ServiceKind};
pub use site_config::SiteConfig;
