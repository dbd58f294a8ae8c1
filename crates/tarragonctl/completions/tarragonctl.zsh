#compdef tarragonctl
_tarragonctl() {
  if ((CURRENT == 2)); then
    compadd base adapter upstream urgency drain store-budget apply quarantine list status explain keys completion
    return
  fi
  case ${words[2]} in
    apply) _files; compadd -- --yes ;;
    status) compadd -- --json --wait --timeout-s ;;
    quarantine) compadd list release ;;
    drain) compadd -- --undo --expect ;;
    store-budget) compadd -- --loads-per-s --at-once --in-flight --expect ;;
    upstream) compadd -- --kind --group --address --zone --slots --batch --checks-fencing --expect ;;
    explain) _files ;;
    keys) _files; compadd -- --out --role --days --new-authority host operator read-only ;;
    completion) compadd bash zsh fish ;;
  esac
}
compdef _tarragonctl tarragonctl
