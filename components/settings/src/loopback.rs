//! Settings of daemons that share one machine, for the demo, measurements and tests.

/// Settings of one daemon on loopback addresses with free ports.
#[derive(Clone, Debug)]
pub struct LoopbackSettings<'a> {
    /// Name of the daemon.
    pub name: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// Its region.
    pub region: &'a str,
    /// Address of the platform's stand-in, as IP and port.
    pub platform: &'a str,
    /// Control addresses of other daemons.
    pub seeds: &'a [String],
    /// Secret of the fleet. Fleets that run at the same time need different ones; otherwise a
    /// daemon that gets the port of another fleet's dead daemon would be admitted to that fleet.
    pub secret: &'a str,
    /// SHA-256 of the managers' token in hexadecimal.
    pub manager_sha256: &'a str,
    /// Additional sections in TOML.
    pub extra: &'a str,
}

/// Returns the settings as the TOML text that a daemon reads.
pub fn render_loopback_settings(settings: &LoopbackSettings<'_>) -> String {
    let seeds: Vec<String> = settings.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        r#"
[instance]
name = "{}"
data_centre = "{}"
region = "{}"

[listen]
proxy = "127.0.0.1:0"
guard = "127.0.0.1:0"
control = "127.0.0.1:0"
ops = "127.0.0.1:0"

[platform]
address = "{}"

[peers]
seeds = [{}]
secret = "{}"

[operators]
manager_sha256 = "{}"

{}
"#,
        settings.name,
        settings.data_centre,
        settings.region,
        settings.platform,
        seeds.join(", "),
        settings.secret,
        settings.manager_sha256,
        settings.extra,
    )
}
