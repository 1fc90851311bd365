package org.arbutusrelay.ctl

internal const val MODULE_NAME: String = "ctl"
